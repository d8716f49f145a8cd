#include "scenarios/runner/runner.hpp"

#include "history/history.hpp"
#include "scenarios/runner/wait_until.hpp"

#include <sstream>
#include <thread>

namespace cornelcross::scenarios {

namespace {

constexpr std::chrono::milliseconds kCallerTimeout{ 80000 };

std::string quality(double aLoss, double aDuplicate, std::chrono::milliseconds aJitter)
{
  return " " + std::to_string(aLoss) + " " + std::to_string(aDuplicate) + " 3 " +
         std::to_string(aJitter.count());
}

std::string linkCommand(const std::string& aVerb,
                        const std::string& aFrom,
                        const std::string& aTo,
                        const std::string& aRest)
{
  std::string line = aVerb;
  line.append(" ").append(aFrom).append(" ").append(aTo).append(aRest);
  return line;
}

std::string provesArgument(const std::vector<Step>& aSteps, std::size_t aIndex)
{
  for (const Step& step : aSteps) {
    if (step.mText.starts_with("proves ")) {
      return step.mArguments.text(aIndex);
    }
  }
  return "";
}

} // namespace

Runner::Runner(const RunSettings& aSettings)
  : mSettings(aSettings), mLog(aSettings.mLogs / "runner.log"), mFleet(aSettings, mLog)
{
}

std::vector<Rule> Runner::rules()
{
  std::vector<Rule> rules;
  addDeploymentRules(rules);
  addProcessRules(rules);
  addLinkRules(rules);
  addConfigurationRules(rules);
  addLoadRules(rules);
  return rules;
}

std::string Runner::disabledMechanismOf(const std::vector<Step>& aSteps)
{
  return provesArgument(aSteps, 1);
}

std::string Runner::provenPointOf(const std::vector<Step>& aSteps)
{
  return provesArgument(aSteps, 0);
}

std::string Runner::run(const std::vector<Step>& aSteps, const std::vector<Rule>& aRules)
{
  std::string failure;
  for (const Step& step : aSteps) {
    mLog.write("step", { { "line", std::to_string(step.mLine) }, { "text", step.mText } });
    try {
      aRules[step.mRuleIndex].mRun(step.mArguments);
    } catch (const std::exception& error) {
      failure = "line " + std::to_string(step.mLine) + ": " + step.mText + ": " + error.what();
      mLog.write("step_failed", { { "line", std::to_string(step.mLine) } });
      break;
    }
  }
  mFleet.terminateAll();
  return failure;
}

void Runner::addDeploymentRules(std::vector<Rule>& aRules)
{
  aRules.push_back({ "proves NAME without NAME", [](const Arguments&) {} });
  aRules.push_back({ "zones LIST", [this](const Arguments& aArguments) {
                      auto& zones = mFleet.deployment().mZones;
                      zones.clear();
                      std::istringstream list(aArguments.text(0));
                      for (std::string zone; std::getline(list, zone, ',');) {
                        zones.push_back(zone);
                      }
                    } });
  aRules.push_back({ "balancers COUNT", [this](const Arguments& aArguments) {
                      mFleet.addBalancers(aArguments.count(0));
                    } });
  aRules.push_back(
    { "service NAME upstreams COUNT slots COUNT", [this](const Arguments& aArguments) {
       mFleet.addService({ aArguments.text(0), {}, aArguments.count(2), 0, 1 },
                         aArguments.count(1));
     } });
  aRules.push_back(
    { "service NAME upstreams COUNT slots COUNT cold DURATION bears COUNT",
      [this](const Arguments& aArguments) {
        const auto coldStartMs = static_cast<unsigned>(aArguments.duration(3).count());
        mFleet.addService(
          { aArguments.text(0), {}, aArguments.count(2), coldStartMs, aArguments.count(4) },
          aArguments.count(1));
      } });
  aRules.push_back({ "start all", [this](const Arguments&) { mFleet.startAll(); } });
}

void Runner::addProcessRules(std::vector<Rule>& aRules)
{
  aRules.push_back({ "start NAME", [this](const Arguments& aArguments) {
                      mFleet.start(aArguments.text(0));
                      mFleet.sprayOverRunningBalancers();
                    } });
  aRules.push_back(
    { "stop NAME", [this](const Arguments& aArguments) { mFleet.stop(aArguments.text(0)); } });
  aRules.push_back(
    { "kill NAME", [this](const Arguments& aArguments) { mFleet.kill(aArguments.text(0)); } });
  aRules.push_back(
    { "freeze NAME", [this](const Arguments& aArguments) { mFleet.freeze(aArguments.text(0)); } });
  aRules.push_back(
    { "thaw NAME", [this](const Arguments& aArguments) { mFleet.thaw(aArguments.text(0)); } });
  aRules.push_back({ "replace NAME", [this](const Arguments& aArguments) {
                      mFleet.stop(aArguments.text(0));
                      mFleet.start(aArguments.text(0));
                      mFleet.waitUntilHealthy(aArguments.text(0));
                      mFleet.sprayOverRunningBalancers();
                    } });
  aRules.push_back({ "restart NAME cold", [this](const Arguments& aArguments) {
                      mFleet.kill(aArguments.text(0));
                      mFleet.start(aArguments.text(0), true);
                    } });
}

void Runner::addLinkRules(std::vector<Rule>& aRules)
{
  aRules.push_back({ "cut NAME to NAME", [this](const Arguments& aArguments) {
                      controlLinks(aArguments.text(0), aArguments.text(1), false, "cut");
                    } });
  aRules.push_back({ "cut NAME and NAME", [this](const Arguments& aArguments) {
                      controlLinks(aArguments.text(0), aArguments.text(1), true, "cut");
                    } });
  aRules.push_back({ "heal all", [this](const Arguments&) {
                      for (const auto& [from, to] : mCutLinks) {
                        mFleet.platform().controlFabric(linkCommand("heal", from, to, ""));
                      }
                      mCutLinks.clear();
                    } });
  aRules.push_back({ "spoil NAME and NAME loss SHARE duplicate SHARE jitter DURATION",
                     [this](const Arguments& aArguments) {
                       controlLinks(
                         aArguments.text(0),
                         aArguments.text(1),
                         true,
                         "link",
                         quality(aArguments.share(2), aArguments.share(3), aArguments.duration(4)));
                     } });
  aRules.push_back(
    { "spoil all loss SHARE duplicate SHARE jitter DURATION", [this](const Arguments& aArguments) {
       mFleet.platform().controlFabric(
         "default" + quality(aArguments.share(0), aArguments.share(1), aArguments.duration(2)));
     } });
  aRules.push_back({ "forget flows", [this](const Arguments&) {
                      mFleet.platform().controlFabric("forget_flows");
                      mLog.write("flows_forgotten", {});
                    } });
  aRules.push_back({ "forget NAME and NAME", [this](const Arguments& aArguments) {
                      controlLinks(aArguments.text(0), aArguments.text(1), true, "forget");
                    } });
}

void Runner::addConfigurationRules(std::vector<Rule>& aRules)
{
  aRules.push_back(
    { "config up|down|stale|slow|silent|forget|mark",
      [this](const Arguments& aArguments) { mFleet.platform().configMode(aArguments.text(0)); } });
  aRules.push_back(
    { "config up|down|stale|slow|silent for NAME", [this](const Arguments& aArguments) {
       const auto reader = mFleet.member(aArguments.text(1)).mReaderNumber;
       const auto port = mFleet.platform().configEndpoint(reader).mPort;
       mFleet.platform().configMode(aArguments.text(0) + " " + std::to_string(port));
     } });
  aRules.push_back({ "publish NAME TEXT", [this](const Arguments& aArguments) {
                      mLastRevision =
                        mFleet.platform().publish(aArguments.text(0), aArguments.text(1));
                    } });
  aRules.push_back(
    { "set NAME joining|serving|leaving|removed",
      [this](const Arguments& aArguments) { setState(aArguments.text(0), aArguments.text(1)); } });
  aRules.push_back(
    { "race NAME joining|serving|leaving|removed and NAME joining|serving|leaving|removed",
      [this](const Arguments& aArguments) { publishConcurrently(aArguments); } });
  aRules.push_back({ "assign NAME to NAME", [this](const Arguments& aArguments) {
                      reassign(aArguments.text(0), aArguments.text(1));
                    } });
  aRules.push_back({ "zone NAME in|out", [this](const Arguments& aArguments) {
                      setZone(aArguments.text(0), aArguments.text(1) == "in");
                    } });
  aRules.push_back({ "wait configuration within DURATION", [this](const Arguments& aArguments) {
                      waitForConfiguration(aArguments.duration(0));
                    } });
  aRules.push_back({ "wait NAME drained within DURATION", [this](const Arguments& aArguments) {
                      waitUntilDrained(aArguments.text(0), aArguments.duration(1));
                    } });
}

void Runner::addLoadRules(std::vector<Rule>& aRules)
{
  const auto start = [this](const Arguments& aArguments, bool aSynData) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aArguments.duration(3));
    mFleet.startCaller(aArguments.text(0),
                       aArguments.text(1),
                       aArguments.rate(2),
                       static_cast<unsigned>(seconds.count()),
                       aSynData);
  };
  aRules.push_back({ "load NAME lookup|reading|save|download RATE for DURATION",
                     [start](const Arguments& aArguments) { start(aArguments, false); } });
  aRules.push_back({ "load NAME lookup|reading|save|download RATE for DURATION in SYN",
                     [start](const Arguments& aArguments) { start(aArguments, true); } });
  aRules.push_back({ "wait load", [this](const Arguments&) { waitForLoad(); } });
  aRules.push_back({ "wait DURATION", [](const Arguments& aArguments) {
                      std::this_thread::sleep_for(aArguments.duration(0));
                    } });
  aRules.push_back(
    { "expect flows|answered|refused|unanswered|broken|incomplete|shed COMPARISON COUNT",
      [this](const Arguments& aArguments) {
        expectCount(aArguments.text(0), aArguments.text(1), aArguments.count(2));
      } });
}

void Runner::controlLinks(const std::string& aFrom,
                          const std::string& aTo,
                          bool aIsBothWays,
                          const std::string& aVerb,
                          const std::string& aRest)
{
  for (const std::string& from : mFleet.addressesOf(aFrom)) {
    for (const std::string& to : mFleet.addressesOf(aTo)) {
      mFleet.platform().controlFabric(linkCommand(aVerb, from, to, aRest));
      if (aIsBothWays) {
        mFleet.platform().controlFabric(linkCommand(aVerb, to, from, aRest));
      }
      if (aVerb == "cut") {
        mCutLinks.emplace_back(from, to);
        mCutLinks.emplace_back(to, from);
      }
    }
  }
}

void Runner::recordUpstreamState(const std::string& aUpstream)
{
  mLog.write("upstream",
             { { "name", aUpstream },
               { "state", mFleet.deployment().mUpstreams.at(aUpstream).mState },
               { "revision", std::to_string(mLastRevision) } });
}

void Runner::publishService(const std::string& aService)
{
  mLastRevision =
    mFleet.platform().publish("service/" + aService, mFleet.deployment().serviceDocument(aService));
}

void Runner::setState(const std::string& aUpstream, const std::string& aState)
{
  auto& upstream = mFleet.deployment().mUpstreams.at(aUpstream);
  upstream.mState = aState;
  publishService(upstream.mService);
  recordUpstreamState(aUpstream);
}

void Runner::reassign(const std::string& aUpstream, const std::string& aService)
{
  auto& upstream = mFleet.deployment().mUpstreams.at(aUpstream);
  setState(aUpstream, "removed");
  mFleet.kill(aUpstream);
  upstream.mService = aService;
  mFleet.member(aUpstream).mService = aService;
  mFleet.start(aUpstream);
  setState(aUpstream, "serving");
}

void Runner::publishConcurrently(const Arguments& aArguments)
{
  // Both operators edit the same document. The second document does not contain the change of the
  // first operator and replaces the first document as a whole.
  auto& first = mFleet.deployment().mUpstreams.at(aArguments.text(0));
  const std::string before = first.mState;
  first.mState = aArguments.text(1);
  publishService(first.mService);
  first.mState = before;
  setState(aArguments.text(2), aArguments.text(3));
  recordUpstreamState(aArguments.text(0));
}

void Runner::setZone(const std::string& aZone, bool aIsInService)
{
  mFleet.deployment().mIsZoneInService[aZone] = aIsInService;
  if (aIsInService) {
    // The record precedes the publication, because processes may send packets into the zone as soon
    // as the document is published.
    mLog.write("zone", { { "name", aZone }, { "state", "in" } });
  }
  mLastRevision = mFleet.platform().publish("zones", mFleet.deployment().zonesDocument());
  if (!aIsInService) {
    mLog.write(
      "zone",
      { { "name", aZone }, { "state", "out" }, { "revision", std::to_string(mLastRevision) } });
  }
}

void Runner::waitForConfiguration(std::chrono::milliseconds aTimeout)
{
  waitUntil(
    "every running process has revision " + std::to_string(mLastRevision), aTimeout, [this] {
      for (const char* role : { "balancer", "agent" }) {
        for (const std::string& name : mFleet.runningMembers(role)) {
          const std::string revision = mFleet.statusField(name, "revision");
          if (revision.empty() || std::stoull(revision) < mLastRevision) {
            return false;
          }
        }
      }
      return true;
    });
}

void Runner::waitUntilDrained(const std::string& aUpstream, std::chrono::milliseconds aTimeout)
{
  waitUntil(aUpstream + " has no open flow", aTimeout, [&] {
    return mFleet.statusField(aUpstream + "-agent", "flows") == "0";
  });
}

void Runner::waitForLoad()
{
  if (!mFleet.waitForCallers(kCallerTimeout)) {
    throw ExpectationFailed("the callers did not exit in time");
  }
}

void Runner::expectCount(const std::string& aCounter,
                         const std::string& aComparison,
                         std::uint64_t aExpected) const
{
  std::uint64_t sum = 0;
  const auto history = history::History::load(mSettings.mLogs);
  history.each("caller_summary",
               [&](const history::Record& aRecord) { sum += aRecord.number(aCounter); });
  const bool holds = aComparison == "="   ? sum == aExpected
                     : aComparison == "<" ? sum < aExpected
                                          : sum > aExpected;
  if (!holds) {
    throw ExpectationFailed("the actual count is " + std::to_string(sum));
  }
}

} // namespace cornelcross::scenarios
