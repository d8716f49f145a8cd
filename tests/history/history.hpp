#pragma once

#include "history/record.hpp"

#include <filesystem>
#include <functional>
#include <vector>

namespace cornelcross::history {

/// @brief A process of the run, as the scenario declared it.
struct NodeInfo
{
  std::string mRole;    ///< "balancer", "agent" or "upstream"
  std::string mZone;    ///< availability zone
  std::string mService; ///< "ADDRESS:PORT" of the service; empty for a balancer

  auto operator<=>(const NodeInfo&) const = default;
};

/// @brief The records of all processes of a run in the order of time.
class History
{
public:
  /// @brief Sorts aRecords by time.
  explicit History(std::vector<Record> aRecords);

  /// @brief Reads each *.log file of a folder; lines that aren't records are skipped.
  static History load(const std::filesystem::path& aFolder);

  /// @brief Every record.
  const std::vector<Record>& records() const { return mRecords; }

  /// @brief Calls aVisit for each record of one event, in order.
  void each(const std::string& aEvent, const std::function<void(const Record&)>& aVisit) const;

  /// @brief Processes that the scenario declared, by name.
  const std::map<std::string, NodeInfo>& nodes() const { return mNodes; }

  /// @brief When a revision, or a higher one, was first in force in any process; UINT64_MAX if
  /// never.
  std::uint64_t acceptedAt(std::uint64_t aRevision) const;

  /// @brief Time of the last record.
  std::uint64_t end() const { return mRecords.empty() ? 0 : mRecords.back().mTime; }

private:
  std::vector<Record> mRecords;
  std::map<std::string, std::vector<std::size_t>> mByEvent;
  std::map<std::string, NodeInfo> mNodes;
};

} // namespace cornelcross::history
