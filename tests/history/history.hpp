#pragma once

#include "history/record.hpp"

#include <filesystem>
#include <functional>
#include <vector>

namespace cornelcross::history {

/// @brief A process of a run, as the scenario declares the process.
struct NodeInfo
{
  std::string mRole;    ///< "balancer", "agent" or "upstream"
  std::string mZone;    ///< availability zone
  std::string mService; ///< "ADDRESS:PORT" of the service; empty for a balancer

  auto operator<=>(const NodeInfo&) const = default;
};

/// @brief The records of all processes of a run, ordered by time.
class History
{
public:
  /// @brief Sorts aRecords by time.
  explicit History(std::vector<Record> aRecords);

  /// @brief Reads every *.log file of a folder; skips lines that are not records.
  static History load(const std::filesystem::path& aFolder);

  /// @brief Returns every record.
  const std::vector<Record>& records() const { return mRecords; }

  /// @brief Calls aVisit for each record of an event, in order of time.
  void each(const std::string& aEvent, const std::function<void(const Record&)>& aVisit) const;

  /// @brief Returns the processes that the scenario declares, by name.
  const std::map<std::string, NodeInfo>& nodes() const { return mNodes; }

  /// @brief Returns the time at which the first process applied aRevision or a higher revision;
  /// UINT64_MAX if no process did.
  std::uint64_t acceptedAt(std::uint64_t aRevision) const;

  /// @brief Returns the time of the last record; 0 without records.
  std::uint64_t end() const { return mRecords.empty() ? 0 : mRecords.back().mTime; }

private:
  std::vector<Record> mRecords;
  std::map<std::string, std::vector<std::size_t>> mByEvent;
  std::map<std::string, NodeInfo> mNodes;
};

} // namespace cornelcross::history
