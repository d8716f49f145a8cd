#include "tools/timeline/causal_pair.hpp"

#include <array>
#include <unordered_map>

namespace cornelcross::tools::timeline {

namespace {

/// An event of kind mCause happens before each event of kind mEffect with the same key.
struct CausalRule
{
  std::string_view mCause;
  std::string_view mEffect;
  std::string (*mKey)(const LogEvent&);
};

/// Value of a field; empty if the event does not have the field.
std::string fieldOrEmpty(const LogEvent& aEvent, std::string_view aName)
{
  const std::string* value = aEvent.field(aName);
  return value == nullptr ? std::string() : *value;
}

std::string revisionKey(const LogEvent& aEvent)
{
  return fieldOrEmpty(aEvent, "revision");
}

std::string requestKey(const LogEvent& aEvent)
{
  return fieldOrEmpty(aEvent, "id");
}

std::string flowKey(const LogEvent& aEvent)
{
  return aEvent.flow();
}

/// A caller is connected when the SYN-ACK arrives. An upstream accepts the connection when the ACK
/// that follows the SYN-ACK arrives.
constexpr std::array kRules = {
  CausalRule{ "published", "config_applied", &revisionKey },
  CausalRule{ "flow_opened", "session_connected", &flowKey },
  CausalRule{ "flow_opened", "connection_accepted", &flowKey },
  CausalRule{ "session_connected", "connection_accepted", &flowKey },
  CausalRule{ "request_sent", "request_started", &requestKey },
  CausalRule{ "request_started", "answer_received", &requestKey },
  CausalRule{ "request_finished", "answer_received", &requestKey },
};

/// Marks a key that several causes share.
constexpr std::size_t kAmbiguous = static_cast<std::size_t>(-1);

/// Appends the pairs of one rule whose events come from different processes.
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

/// Appends pairs for configuration pulls: a process that pulls a revision from a peer applies the
/// revision after the peer. The "source" field of "config_applied" names the peer by the endpoint
/// that the peer advertised in its "process_started" event.
void appendPullPairs(const std::vector<LogEvent>& aEvents, std::vector<CausalPair>& aPairs)
{
  std::unordered_map<std::string, std::string> endpoints;
  for (const LogEvent& event : aEvents) {
    if (event.mKind == "process_started") {
      endpoints[event.mProcess] = fieldOrEmpty(event, "advertise");
    }
  }
  std::unordered_map<std::string, std::size_t> causes;
  for (std::size_t i = 0; i < aEvents.size(); ++i) {
    const LogEvent& event = aEvents[i];
    const auto found = endpoints.find(event.mProcess);
    if (event.mKind == "config_applied" && found != endpoints.end()) {
      const std::string key = found->second + "/" + revisionKey(event);
      const auto [entry, isNew] = causes.emplace(key, i);
      entry->second = isNew ? i : kAmbiguous;
    }
  }
  for (std::size_t i = 0; i < aEvents.size(); ++i) {
    if (aEvents[i].mKind != "config_applied") {
      continue;
    }
    const auto found =
      causes.find(fieldOrEmpty(aEvents[i], "source") + "/" + revisionKey(aEvents[i]));
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
  appendPullPairs(aEvents, pairs);
  return pairs;
}

} // namespace cornelcross::tools::timeline
