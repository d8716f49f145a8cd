#include "history/rules.hpp"

#include <set>

namespace cornelcross::history {

namespace {

std::string sessionOf(const std::string& aRequest)
{
  return aRequest.substr(0, aRequest.rfind('-'));
}

} // namespace

void checkAnswers(const History& aHistory, Violations& aFound)
{
  std::map<std::string, std::string> digests;
  aHistory.each("request_finished", [&](const Record& aRecord) {
    digests[aRecord.field("id")] = aRecord.field("digest");
  });
  aHistory.each("answer_received", [&](const Record& aRecord) {
    const std::string id = aRecord.field("id");
    const bool isOwn = aRecord.field("answer_id") == id;
    const bool isIntact = aRecord.field("status") == "shed" ||
                          (digests.count(id) != 0 && aRecord.field("digest") == digests.at(id));
    if (!isOwn || !isIntact) {
      aFound.push_back(
        { Point::kWholeAnswer,
          aRecord.mTime,
          "request " + id + " got " + (isOwn ? "an altered" : "another request's") + " response" });
    }
  });
}

void checkRefusals(const History& aHistory, Violations& aFound)
{
  std::set<std::string> started;
  std::set<std::string> sessions;
  aHistory.each("request_started", [&](const Record& aRecord) {
    started.insert(aRecord.field("id"));
    sessions.insert(sessionOf(aRecord.field("id")));
  });
  aHistory.each("session_ended", [&](const Record& aRecord) {
    if (aRecord.field("outcome") == "refused" && sessions.count(aRecord.field("session")) != 0) {
      aFound.push_back({ Point::kTrueRefusal,
                         aRecord.mTime,
                         "session " + aRecord.field("session") +
                           " was refused but a request of the session was processed" });
    }
  });
  aHistory.each("answer_received", [&](const Record& aRecord) {
    if (aRecord.field("status") == "shed" && started.count(aRecord.field("id")) != 0) {
      aFound.push_back({ Point::kTrueRefusal,
                         aRecord.mTime,
                         "request " + aRecord.field("id") + " was shed but processed" });
    }
  });
}

void checkSaves(const History& aHistory, Violations& aFound)
{
  std::set<std::string> saved;
  aHistory.each("saved", [&](const Record& aRecord) {
    if (!saved.insert(aRecord.field("id")).second) {
      aFound.push_back({ Point::kSavedOnce,
                         aRecord.mTime,
                         aRecord.field("id") + " was saved again at " + aRecord.mProcess });
    }
  });
}

void checkIsolation(const History& aHistory, Violations& aFound)
{
  aHistory.each("foreign_packet", [&](const Record& aRecord) {
    aFound.push_back({ Point::kServiceIsolation,
                       aRecord.mTime,
                       aRecord.mProcess + " received a packet for " + aRecord.field("service") });
  });
  std::map<std::string, std::string> serviceOfSession;
  aHistory.each("session_connected", [&](const Record& aRecord) {
    serviceOfSession[aRecord.field("session")] = aRecord.field("service");
  });
  std::map<std::string, std::string> serviceOfUpstream;
  for (const Record& record : aHistory.records()) {
    if (record.mEvent == "upstream_started") {
      serviceOfUpstream[record.mProcess] = record.field("service");
    }
    const auto service = serviceOfSession.find(sessionOf(record.field("id")));
    if (record.mEvent == "request_started" && service != serviceOfSession.end() &&
        serviceOfUpstream[record.mProcess] != service->second) {
      aFound.push_back({ Point::kServiceIsolation,
                         record.mTime,
                         "request " + record.field("id") + " for " + service->second +
                           " was processed at " + record.mProcess });
    }
  }
}

} // namespace cornelcross::history
