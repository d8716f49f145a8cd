#pragma once

#include "base/time.hpp"
#include "wire/load_report.hpp"

#include <unordered_map>

namespace cornelcross::admission {

/// @brief Load of the service's other upstreams as their agents reported it.
class ServiceLoad
{
public:
  /// @brief Takes a report over.
  void store(base::Time aNow, const wire::LoadReport& aReport);

  /// @brief Forgets every report; the configuration changed.
  void clear() { mEntries.clear(); }

  /// @brief Requests that an upstream with this limit runs at its even share of the service's load;
  /// the whole limit if no report is fresh. @param aLoad its own mean load
  double share(base::Time aNow, double aLoad, std::uint32_t aLimit) const;

  /// @brief Mean answer time of the other upstreams; zero if it isn't known.
  base::Duration answerTime(base::Time aNow) const;

private:
  struct Entry
  {
    wire::LoadReport mReport;
    base::Time mReceived;
  };

  std::unordered_map<std::uint64_t, Entry> mEntries;
};

} // namespace cornelcross::admission
