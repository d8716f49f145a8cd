#include "history/rules.hpp"

#include <set>

namespace cornelcross::history {

namespace {

/// Load of an upstream since its last start.
struct ColdState
{
  std::uint64_t mColdUntil = 0;             ///< microseconds since the epoch
  std::uint64_t mMaxConcurrentRequests = 0; ///< limit during the cold start
  std::multiset<std::string> mOpen;         ///< IDs of the requests in progress
};

} // namespace

void checkColdLoad(const History& aHistory, Violations& aFound)
{
  std::map<std::string, ColdState> upstreams;
  for (const Record& record : aHistory.records()) {
    ColdState& state = upstreams[record.mProcess];
    if (record.mEvent == "upstream_started") {
      state = { record.mTime + record.number("cold_ms") * 1000, record.number("cold_slots"), {} };
    } else if (record.mEvent == "request_received") {
      state.mOpen.insert(record.field("id"));
      if (record.mTime < state.mColdUntil && state.mOpen.size() > state.mMaxConcurrentRequests) {
        aFound.push_back({ Point::kColdLoad,
                           record.mTime,
                           record.mProcess + " received " + std::to_string(state.mOpen.size()) +
                             " concurrent requests while cold, above its limit of " +
                             std::to_string(state.mMaxConcurrentRequests) });
      }
    } else if (record.mEvent == "request_finished" || record.mEvent == "request_shed") {
      const auto request = state.mOpen.find(record.field("id"));
      if (request != state.mOpen.end()) {
        state.mOpen.erase(request);
      }
    }
  }
}

} // namespace cornelcross::history
