#include "history/checker.hpp"
#include "history/intervals.hpp"
#include "history/rules.hpp"

#include <set>

namespace cornelcross::history {

namespace {

/// One session that was established and then ended badly.
struct BrokenSession
{
  std::string mId;
  std::string mOutcome;
  std::string mUpstream; ///< where it was accepted; empty if nowhere
  Interval mLife;
};

bool isBroken(const std::string& aOutcome)
{
  static const std::set<std::string> kBroken{
    "reset", "closed_early", "aborted", "deadline", "malformed"
  };
  return kBroken.count(aOutcome) != 0;
}

std::string acceptedAt(const std::multimap<std::string, const Record*>& aAccepted,
                       const std::string& aCaller,
                       const Interval& aLife)
{
  const auto [first, last] = aAccepted.equal_range(aCaller);
  for (auto at = first; at != last; ++at) {
    // The caller sees the connection before the upstream does.
    if (at->second->mTime <= aLife.mEnd && at->second->mTime + kBound >= aLife.mBegin) {
      const std::string upstream = at->second->field("upstream");
      return upstream.empty() ? at->second->mProcess : upstream;
    }
  }
  return "";
}

std::vector<BrokenSession> brokenSessions(const History& aHistory)
{
  std::multimap<std::string, const Record*> accepted;
  aHistory.each("connection_accepted", [&](const Record& aRecord) {
    accepted.emplace(aRecord.field("caller"), &aRecord);
  });
  // A flow that ends before its handshake does is known to the agent alone.
  aHistory.each("flow_opened", [&](const Record& aRecord) {
    const std::string flow = aRecord.field("flow");
    accepted.emplace(flow.substr(0, flow.find('>')), &aRecord);
  });
  std::map<std::string, const Record*> connected;
  aHistory.each("session_connected",
                [&](const Record& aRecord) { connected[aRecord.field("session")] = &aRecord; });
  std::vector<BrokenSession> broken;
  aHistory.each("session_ended", [&](const Record& aRecord) {
    const auto begin = connected.find(aRecord.field("session"));
    if (begin != connected.end() && isBroken(aRecord.field("outcome"))) {
      const Interval life{ begin->second->mTime, aRecord.mTime };
      const std::string upstream = acceptedAt(accepted, begin->second->field("caller"), life);
      broken.push_back({ aRecord.field("session"), aRecord.field("outcome"), upstream, life });
    }
  });
  return broken;
}

/// True if the flow ended with its upstream or with the zone of it, which no one can mend.
bool isExcused(const History& aHistory, const BrokenSession& aSession)
{
  for (const Interval& fault : intervalsOf(aHistory, "upstream_fault", aSession.mUpstream, "on")) {
    if (fault.overlaps(aSession.mLife)) {
      return true;
    }
  }
  const auto node = aHistory.nodes().find(aSession.mUpstream);
  const std::string zone = node == aHistory.nodes().end() ? "" : node->second.mZone;
  for (const Interval& out : intervalsOf(aHistory, "zone", zone, "out")) {
    if (out.overlaps(aSession.mLife)) {
      return true;
    }
  }
  return false;
}

bool spansPlannedStop(const History& aHistory, const Interval& aLife)
{
  bool spans = false;
  aHistory.each("planned_stop", [&](const Record& aRecord) {
    spans = spans || (aRecord.mTime >= aLife.mBegin && aRecord.mTime <= aLife.mEnd);
  });
  return spans;
}

} // namespace

void checkFlows(const History& aHistory, Violations& aFound)
{
  std::set<std::string> answered;
  aHistory.each("answer_received",
                [&](const Record& aRecord) { answered.insert(aRecord.field("id")); });
  std::map<std::string, std::string> unanswered; // request by session
  aHistory.each("request_sent", [&](const Record& aRecord) {
    const std::string id = aRecord.field("id");
    if (answered.count(id) == 0) {
      unanswered[id.substr(0, id.rfind('-'))] = id;
    }
  });
  for (const BrokenSession& session : brokenSessions(aHistory)) {
    if (isExcused(aHistory, session)) {
      continue;
    }
    const std::string text = "session " + session.mId + " at " +
                             (session.mUpstream.empty() ? "no upstream" : session.mUpstream) +
                             " ended with " + session.mOutcome;
    aFound.push_back({ Point::kEstablishedFlow, session.mLife.mEnd, text });
    const auto request = unanswered.find(session.mId);
    if (request != unanswered.end()) {
      aFound.push_back({ Point::kWholeAnswer,
                         session.mLife.mEnd,
                         "request " + request->second + " got no whole answer" });
    }
    if (request != unanswered.end() && spansPlannedStop(aHistory, session.mLife)) {
      aFound.push_back({ Point::kGracefulStop, session.mLife.mEnd, text + " over a planned stop" });
    }
  }
}

} // namespace cornelcross::history
