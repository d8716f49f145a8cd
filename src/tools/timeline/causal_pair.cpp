#include "tools/timeline/causal_pair.hpp"

#include <array>
#include <unordered_map>

namespace cornelcross::tools::timeline {

namespace {

/// Events of kind mCause happen before those of kind mEffect that have the same key.
struct CausalRule
{
  std::string_view mCause;
  std::string_view mEffect;
  std::string (*mKey)(const LogEvent&);
};

std::string byField(const LogEvent& aEvent, std::string_view aName)
{
  const std::string* value = aEvent.field(aName);
  return value == nullptr ? std::string() : *value;
}

std::string byRevision(const LogEvent& aEvent)
{
  return byField(aEvent, "revision");
}

std::string byRequest(const LogEvent& aEvent)
{
  return byField(aEvent, "id");
}

std::string byFlow(const LogEvent& aEvent)
{
  return aEvent.flow();
}

/// A caller is connected once the SYN-ACK arrived, and an upstream accepts on the ACK after it.
constexpr std::array kRules = {
  CausalRule{ "published", "config_applied", &byRevision },
  CausalRule{ "flow_opened", "session_connected", &byFlow },
  CausalRule{ "flow_opened", "connection_accepted", &byFlow },
  CausalRule{ "session_connected", "connection_accepted", &byFlow },
  CausalRule{ "request_sent", "request_started", &byRequest },
  CausalRule{ "request_started", "answer_received", &byRequest },
  CausalRule{ "request_finished", "answer_received", &byRequest },
};

constexpr std::size_t kAmbiguous = static_cast<std::size_t>(-1);

void appendPairs(const std::vector<LogEvent>& aEvents,
                 const CausalRule& aRule,
                 std::vector<CausalPair>& aPairs)
{
  std::unordered_map<std::string, std::size_t> causes;
  for (std::size_t i = 0; i < aEvents.size(); ++i) {
    if (aEvents[i].mKind == aRule.mCause) {
      const auto [entry, isNew] = causes.emplace(aRule.mKey(aEvents[i]), i);
      entry->second = isNew ? i : kAmbiguous;
    }
  }
  causes.erase(std::string());
  for (std::size_t i = 0; i < aEvents.size(); ++i) {
    if (aEvents[i].mKind != aRule.mEffect) {
      continue;
    }
    const auto found = causes.find(aRule.mKey(aEvents[i]));
    if (found != causes.end() && found->second != kAmbiguous &&
        aEvents[found->second].mProcess != aEvents[i].mProcess) {
      aPairs.push_back({ found->second, i });
    }
  }
}

/// A process that pulled a revision from a peer applied it after the peer did. The event names the
/// peer by the endpoint that this one advertised at its start.
void appendPulls(const std::vector<LogEvent>& aEvents, std::vector<CausalPair>& aPairs)
{
  std::unordered_map<std::string, std::string> endpoints;
  for (const LogEvent& event : aEvents) {
    if (event.mKind == "process_started") {
      endpoints[event.mProcess] = byField(event, "advertise");
    }
  }
  std::unordered_map<std::string, std::size_t> causes;
  for (std::size_t i = 0; i < aEvents.size(); ++i) {
    const LogEvent& event = aEvents[i];
    const auto found = endpoints.find(event.mProcess);
    if (event.mKind == "config_applied" && found != endpoints.end()) {
      const std::string key = found->second + "/" + byRevision(event);
      const auto [entry, isNew] = causes.emplace(key, i);
      entry->second = isNew ? i : kAmbiguous;
    }
  }
  for (std::size_t i = 0; i < aEvents.size(); ++i) {
    if (aEvents[i].mKind != "config_applied") {
      continue;
    }
    const auto found = causes.find(byField(aEvents[i], "source") + "/" + byRevision(aEvents[i]));
    if (found != causes.end() && found->second != kAmbiguous) {
      aPairs.push_back({ found->second, i });
    }
  }
}

} // namespace

std::vector<CausalPair> findCausalPairs(const std::vector<LogEvent>& aEvents)
{
  std::vector<CausalPair> pairs;
  for (const CausalRule& rule : kRules) {
    appendPairs(aEvents, rule, pairs);
  }
  appendPulls(aEvents, pairs);
  return pairs;
}

} // namespace cornelcross::tools::timeline
