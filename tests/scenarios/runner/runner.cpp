#include "scenarios/runner/runner.hpp"

#include "history/history.hpp"

#include <thread>

namespace cornelcross::scenarios {

namespace {

constexpr std::chrono::milliseconds kCallerLimit{ 60000 };

std::string quality(double aLoss, double aDuplicate, std::chrono::milliseconds aJitter)
{
  return " " + std::to_string(aLoss) + " " + std::to_string(aDuplicate) + " 3 " +
         std::to_string(aJitter.count());
}

std::string argumentOf(const std::vector<Step>& aSteps, std::size_t aIndex)
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

std::string Runner::faultOf(const std::vector<Step>& aSteps)
{
  return argumentOf(aSteps, 1);
}

std::string Runner::pointOf(const std::vector<Step>& aSteps)
{
  return argumentOf(aSteps, 0);
}

std::string Runner::run(const std::vector<Step>& aSteps, const std::vector<Rule>& aRules)
{
  std::string failure;
  for (const Step& step : aSteps) {
    mLog.write("step", { { "line", std::to_string(step.mLine) }, { "text", step.mText } });
    try {
      aRules[step.mRule].mRun(step.mArguments);
    } catch (const std::exception& error) {
      failure = "line " + std::to_string(step.mLine) + ": " + step.mText + ": " + error.what();
      mLog.write("step_failed", { { "line", std::to_string(step.mLine) } });
      break;
    }
  }
  mFleet.endAll();
  return failure;
}

void Runner::addDeploymentRules(std::vector<Rule>& aRules)
{
  aRules.push_back({ "proves NAME without NAME", [](const Arguments&) {} });
  aRules.push_back({ "zones LIST", [this](const Arguments& aWords) {
                      auto& zones = mFleet.deployment().mZones;
                      zones.clear();
                      std::istringstream list(aWords.text(0));
                      for (std::string zone; std::getline(list, zone, ',');) {
                        zones.push_back(zone);
                      }
                    } });
  aRules.push_back({ "balancers COUNT",
                     [this](const Arguments& aWords) { mFleet.addBalancers(aWords.count(0)); } });
  aRules.push_back(
    { "service NAME upstreams COUNT slots COUNT", [this](const Arguments& aWords) {
       mFleet.addService({ aWords.text(0), {}, aWords.count(2), 0, 1 }, aWords.count(1));
     } });
  aRules.push_back({ "service NAME upstreams COUNT slots COUNT cold DURATION bears COUNT",
                     [this](const Arguments& aWords) {
                       const auto coldMs = static_cast<unsigned>(aWords.duration(3).count());
                       mFleet.addService(
                         { aWords.text(0), {}, aWords.count(2), coldMs, aWords.count(4) },
                         aWords.count(1));
                     } });
  aRules.push_back({ "start all", [this](const Arguments&) { mFleet.startAll(); } });
}

void Runner::addProcessRules(std::vector<Rule>& aRules)
{
  aRules.push_back({ "start NAME", [this](const Arguments& aWords) {
                      mFleet.start(aWords.text(0));
                      mFleet.sprayOverRunning();
                    } });
  aRules.push_back(
    { "stop NAME", [this](const Arguments& aWords) { mFleet.stop(aWords.text(0)); } });
  aRules.push_back(
    { "kill NAME", [this](const Arguments& aWords) { mFleet.kill(aWords.text(0)); } });
  aRules.push_back(
    { "freeze NAME", [this](const Arguments& aWords) { mFleet.freeze(aWords.text(0)); } });
  aRules.push_back(
    { "thaw NAME", [this](const Arguments& aWords) { mFleet.thaw(aWords.text(0)); } });
  aRules.push_back({ "replace NAME", [this](const Arguments& aWords) {
                      mFleet.stop(aWords.text(0));
                      mFleet.start(aWords.text(0));
                      mFleet.waitUntilHealthy(aWords.text(0));
                      mFleet.sprayOverRunning();
                    } });
  aRules.push_back({ "restart NAME cold", [this](const Arguments& aWords) {
                      mFleet.kill(aWords.text(0));
                      mFleet.start(aWords.text(0), true);
                    } });
}

void Runner::addLinkRules(std::vector<Rule>& aRules)
{
  aRules.push_back({ "cut NAME to NAME", [this](const Arguments& aWords) {
                      eachLink(aWords.text(0), aWords.text(1), false, "cut");
                    } });
  aRules.push_back({ "cut NAME and NAME", [this](const Arguments& aWords) {
                      eachLink(aWords.text(0), aWords.text(1), true, "cut");
                    } });
  aRules.push_back({ "heal all", [this](const Arguments&) {
                      for (const auto& [from, to] : mCuts) {
                        mFleet.controlFabric("heal " + from + " " + to);
                      }
                      mCuts.clear();
                    } });
  aRules.push_back({ "spoil NAME and NAME loss SHARE duplicate SHARE jitter DURATION",
                     [this](const Arguments& aWords) {
                       eachLink(aWords.text(0),
                                aWords.text(1),
                                true,
                                "link",
                                quality(aWords.share(2), aWords.share(3), aWords.duration(4)));
                     } });
  aRules.push_back(
    { "spoil all loss SHARE duplicate SHARE jitter DURATION", [this](const Arguments& aWords) {
       mFleet.controlFabric("default" +
                            quality(aWords.share(0), aWords.share(1), aWords.duration(2)));
     } });
  aRules.push_back({ "forget NAME and NAME", [this](const Arguments& aWords) {
                      eachLink(aWords.text(0), aWords.text(1), true, "forget");
                    } });
}

void Runner::addConfigurationRules(std::vector<Rule>& aRules)
{
  aRules.push_back({ "config up|down|stale|slow|silent|forget|mark",
                     [this](const Arguments& aWords) { mFleet.configMode(aWords.text(0)); } });
  aRules.push_back({ "config up|down|stale|slow|silent for NAME", [this](const Arguments& aWords) {
                      const auto port = mFleet.member(aWords.text(1)).mReader;
                      mFleet.configMode(aWords.text(0) + " " + std::to_string(port));
                    } });
  aRules.push_back({ "publish NAME TEXT", [this](const Arguments& aWords) {
                      mRevision = mFleet.publish(aWords.text(0), aWords.text(1));
                    } });
  aRules.push_back({ "set NAME joining|serving|leaving|removed", [this](const Arguments& aWords) {
                      setState(aWords.text(0), aWords.text(1));
                    } });
  aRules.push_back(
    { "race NAME joining|serving|leaving|removed and NAME joining|serving|leaving|removed",
      [this](const Arguments& aWords) { race(aWords); } });
  aRules.push_back({ "assign NAME to NAME",
                     [this](const Arguments& aWords) { assign(aWords.text(0), aWords.text(1)); } });
  aRules.push_back({ "zone NAME in|out", [this](const Arguments& aWords) {
                      setZone(aWords.text(0), aWords.text(1) == "in");
                    } });
  aRules.push_back({ "wait configuration within DURATION", [this](const Arguments& aWords) {
                      waitForConfiguration(aWords.duration(0));
                    } });
  aRules.push_back({ "wait NAME drained within DURATION", [this](const Arguments& aWords) {
                      waitUntilDrained(aWords.text(0), aWords.duration(1));
                    } });
}

void Runner::addLoadRules(std::vector<Rule>& aRules)
{
  const auto start = [this](const Arguments& aWords, bool aSynData) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aWords.duration(3));
    mFleet.load(aWords.text(0),
                aWords.text(1),
                aWords.rate(2),
                static_cast<unsigned>(seconds.count()),
                aSynData);
  };
  aRules.push_back({ "load NAME lookup|reading|save|download RATE for DURATION",
                     [start](const Arguments& aWords) { start(aWords, false); } });
  aRules.push_back({ "load NAME lookup|reading|save|download RATE for DURATION in SYN",
                     [start](const Arguments& aWords) { start(aWords, true); } });
  aRules.push_back({ "wait load", [this](const Arguments&) { waitForLoad(); } });
  aRules.push_back({ "wait DURATION", [](const Arguments& aWords) {
                      std::this_thread::sleep_for(aWords.duration(0));
                    } });
  aRules.push_back(
    { "expect flows|answered|refused|unanswered|broken|incomplete|shed COMPARISON COUNT",
      [this](const Arguments& aWords) {
        expectCount(aWords.text(0), aWords.text(1), aWords.count(2));
      } });
}

void Runner::eachLink(const std::string& aFrom,
                      const std::string& aTo,
                      bool aIsBothWays,
                      const std::string& aVerb,
                      const std::string& aRest)
{
  for (const std::string& from : mFleet.addressesOf(aFrom)) {
    for (const std::string& to : mFleet.addressesOf(aTo)) {
      mFleet.controlFabric(aVerb + " " + from + " " + to + aRest);
      if (aIsBothWays) {
        mFleet.controlFabric(aVerb + " " + to + " " + from + aRest);
      }
      if (aVerb == "cut") {
        mCuts.emplace_back(from, to);
        mCuts.emplace_back(to, from);
      }
    }
  }
}

void Runner::noteState(const std::string& aUpstream)
{
  mLog.write("upstream",
             { { "name", aUpstream },
               { "state", mFleet.deployment().mUpstreams.at(aUpstream).mState },
               { "revision", std::to_string(mRevision) } });
}

void Runner::publishService(const std::string& aService)
{
  mRevision = mFleet.publish("service/" + aService, mFleet.deployment().serviceDocument(aService));
}

void Runner::setState(const std::string& aUpstream, const std::string& aState)
{
  auto& upstream = mFleet.deployment().mUpstreams.at(aUpstream);
  upstream.mState = aState;
  publishService(upstream.mService);
  noteState(aUpstream);
}

void Runner::assign(const std::string& aUpstream, const std::string& aService)
{
  auto& upstream = mFleet.deployment().mUpstreams.at(aUpstream);
  setState(aUpstream, "removed");
  mFleet.kill(aUpstream);
  upstream.mService = aService;
  mFleet.member(aUpstream).mService = aService;
  mFleet.start(aUpstream);
  setState(aUpstream, "serving");
}

void Runner::race(const Arguments& aWords)
{
  // Both operators begin from the same document; the one who publishes last knows nothing of the
  // other's change, and what is in force is the last document as a whole.
  auto& first = mFleet.deployment().mUpstreams.at(aWords.text(0));
  const std::string before = first.mState;
  first.mState = aWords.text(1);
  publishService(first.mService);
  first.mState = before;
  setState(aWords.text(2), aWords.text(3));
  noteState(aWords.text(0));
}

void Runner::setZone(const std::string& aZone, bool aIsIn)
{
  mFleet.deployment().mZoneIsIn[aZone] = aIsIn;
  if (aIsIn) {
    // Before it is published: from here on packets into the zone are right.
    mLog.write("zone", { { "name", aZone }, { "state", "in" } });
  }
  mRevision = mFleet.publish("zones", mFleet.deployment().zonesDocument());
  if (!aIsIn) {
    mLog.write(
      "zone", { { "name", aZone }, { "state", "out" }, { "revision", std::to_string(mRevision) } });
  }
}

void Runner::waitForConfiguration(std::chrono::milliseconds aLimit)
{
  Fleet::waitUntil("every process has revision " + std::to_string(mRevision), aLimit, [this] {
    for (const char* role : { "balancer", "agent" }) {
      for (const std::string& name : mFleet.running(role)) {
        const std::string revision = mFleet.status(name, "revision");
        if (revision.empty() || std::stoull(revision) < mRevision) {
          return false;
        }
      }
    }
    return true;
  });
}

void Runner::waitUntilDrained(const std::string& aUpstream, std::chrono::milliseconds aLimit)
{
  Fleet::waitUntil(aUpstream + " has no flow", aLimit, [&] {
    return mFleet.status(aUpstream + "-agent", "flows") == "0";
  });
}

void Runner::waitForLoad()
{
  if (!mFleet.waitForCallers(kCallerLimit)) {
    throw ExpectationFailed("the callers did not end");
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
    throw ExpectationFailed("found " + std::to_string(sum));
  }
}

} // namespace cornelcross::scenarios
