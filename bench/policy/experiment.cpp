#include "bench/policy/experiment.hpp"

#include "routing/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cornelcross::bench {

namespace {

constexpr base::Duration kCallerDelay = std::chrono::milliseconds(3); ///< one way
constexpr base::Duration kTick = std::chrono::milliseconds(10);
constexpr base::Duration kSecond = std::chrono::seconds(1);

/// Attempts of a caller, and the shortest pause after a refusal; it doubles each time.
constexpr std::uint32_t kAttempts = 3;
constexpr double kPause = 0.5; ///< seconds

/// Spread of the work of requests of one kind: standard deviation of its logarithm.
constexpr double kWorkSpread = 0.5;

/// Share of the even share that the greedy firm offers, and the others.
constexpr double kGreedy = 5;
constexpr double kModest = 0.625;

constexpr std::uint32_t kZones = 3;

constexpr double kWavePeriod = 20; ///< seconds

base::Duration seconds(double aSeconds)
{
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(aSeconds));
}

double milliseconds(base::Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

std::vector<double> sharesOf(const Workload& aWorkload, bool aIsGreedy)
{
  std::vector<double> shares = aWorkload.mWorkspaceShares;
  if (aIsGreedy) {
    std::fill(shares.begin(), shares.end(), kModest);
    shares.front() = kGreedy;
  }
  return shares;
}

config::Service configure(const Workload& aWorkload)
{
  config::Service service;
  for (std::uint32_t i = 0; i < aWorkload.mUpstreams; ++i) {
    config::Upstream upstream;
    upstream.mIdentity = config::upstreamIdentity(aWorkload.mName, std::to_string(i));
    service.mUpstreams.push_back(upstream);
  }
  return service;
}

} // namespace

Disturbance parseDisturbance(const std::string& aName)
{
  if (aName == "cold") {
    return Disturbance::kCold;
  }
  if (aName == "silent") {
    return Disturbance::kSilent;
  }
  if (aName == "zone") {
    return Disturbance::kZone;
  }
  if (aName == "cleaning") {
    return Disturbance::kCleaning;
  }
  return aName == "burst" ? Disturbance::kBurst : Disturbance::kNone;
}

Experiment::Experiment(const Workload& aWorkload, const ExperimentSettings& aSettings)
  : mWorkload(aWorkload)
  , mSettings(aSettings)
  , mConfigured(configure(aWorkload))
  , mActive(aWorkload.mUpstreams)
  , mShares(sharesOf(aWorkload, aSettings.mIsGreedy))
  , mResponses(aWorkload.mUpstreams)
{
  mService.mRandom = Random(aSettings.mSeed);
  mService.mSlots = aWorkload.mSlots;
  mService.mIsEligible.assign(aWorkload.mUpstreams, true);
  for (std::uint32_t i = 0; i < aWorkload.mUpstreams; ++i) {
    mService.mUpstreams.emplace_back(mService.mEvents, aWorkload.mSlots);
  }
  mService.mAdmit = [this](const FlowPtr& aFlow, std::size_t aUpstream) {
    admitted(aFlow, aUpstream);
  };
  mService.mRefuse = [this](const FlowPtr& aFlow) { refused(aFlow); };
  mService.mStart = [this](const FlowPtr& aFlow) { started(aFlow); };
  mMeasures.mWorkspaces.resize(mShares.size());
  mPolicy = makePolicy(aSettings.mPolicy, mService, aSettings.mReports);
}

Measures Experiment::run()
{
  mStart = mService.mEvents.now() + kSecond * mSettings.mSettleSeconds;
  for (std::size_t kind = 0; kind < mWorkload.mKinds.size(); ++kind) {
    arrive(kind);
  }
  scheduleDisturbance();
  const std::uint32_t total = mSettings.mSettleSeconds + mSettings.mSeconds;
  for (std::uint32_t second = 0; second < total; ++second) {
    for (base::Duration at = kTick; at <= kSecond; at += kTick) {
      mService.mEvents.run(mService.mEvents.now() + kTick);
      mPolicy->tick();
    }
    endSecond();
  }
  for (const UpstreamQueue& upstream : mService.mUpstreams) {
    mMeasures.mColdPeak = std::max(mMeasures.mColdPeak, upstream.coldPeak());
  }
  mMeasures.mResponseImbalance = responseImbalance();
  return std::move(mMeasures);
}

void Experiment::arrive(std::size_t aKind)
{
  const SessionKind& kind = mWorkload.mKinds[aKind];
  const double capacity = static_cast<double>(mWorkload.mUpstreams) * mWorkload.mSlots;
  const double rate =
    mSettings.mLoad * mBurst * wave() * capacity * kind.mShare / (kind.mWork * kind.mRequests);
  mService.mEvents.after(seconds(mService.mRandom.exponential(rate)), [this, aKind] {
    auto flow = std::make_shared<Flow>();
    flow->mKind = aKind;
    flow->mWorkspace = mService.mRandom.choose(mShares);
    flow->mRequestsLeft = mWorkload.mKinds[aKind].mRequests;
    attempt(flow);
    arrive(aKind);
  });
}

void Experiment::attempt(const FlowPtr& aFlow)
{
  aFlow->mHash = mService.mRandom.word();
  aFlow->mRanks = ranksOf(aFlow->mHash);
  aFlow->mOpened = mService.mEvents.now();
  ++aFlow->mAttempt;
  if (isMeasured()) {
    ++mMeasures.mWorkspaces[aFlow->mWorkspace].mOffered;
  }
  mService.mEvents.after(kCallerDelay, [this, aFlow] { mPolicy->open(aFlow); });
}

std::vector<std::size_t> Experiment::ranksOf(std::uint64_t aHash) const
{
  auto ranks = routing::rank(mConfigured, aHash, mConfigured.mUpstreams.size());
  std::stable_partition(ranks.begin(), ranks.end(), [this](std::size_t aIndex) {
    return mService.mIsEligible[aIndex];
  });
  return ranks;
}

void Experiment::admitted(const FlowPtr& aFlow, std::size_t aUpstream)
{
  aFlow->mUpstream = aUpstream;
  aFlow->mIncarnation = mService.mUpstreams[aUpstream].incarnation();
  mActive[aUpstream].insert(aFlow);
  if (isMeasured()) {
    const base::Duration delay = mService.mEvents.now() - aFlow->mOpened;
    mMeasures.mWorkspaces[aFlow->mWorkspace].mDelays.push_back(milliseconds(delay));
  }
  mService.mEvents.after(kCallerDelay, [this, aFlow] { sendRequest(aFlow); });
}

void Experiment::refused(const FlowPtr& aFlow)
{
  ++mSecond.mRefused;
  if (isMeasured()) {
    ++mMeasures.mWorkspaces[aFlow->mWorkspace].mRefused;
  }
  if (aFlow->mAttempt >= kAttempts) {
    mMeasures.mGaveUp += isMeasured() ? 1 : 0;
    return;
  }
  const double jitter = mService.mRandom.between(0.5, 1.5);
  const double pause = std::ldexp(kPause, static_cast<int>(aFlow->mAttempt)) * jitter;
  mService.mEvents.after(seconds(pause), [this, aFlow] { attempt(aFlow); });
}

void Experiment::sendRequest(const FlowPtr& aFlow)
{
  aFlow->mRequestSent = mService.mEvents.now();
  mService.mEvents.after(kCallerDelay, [this, aFlow] {
    if (mActive[aFlow->mUpstream].count(aFlow) > 0) {
      mPolicy->request(aFlow);
    }
  });
}

void Experiment::started(const FlowPtr& aFlow)
{
  UpstreamQueue& upstream = mService.mUpstreams[aFlow->mUpstream];
  aFlow->mIsBusy = true;
  aFlow->mStarted = mService.mEvents.now();
  if (upstream.incarnation() != aFlow->mIncarnation) {
    lost(aFlow);
    return;
  }
  const base::Duration work = seconds(sample(mWorkload.mKinds[aFlow->mKind].mWork));
  const base::Duration taken =
    seconds(std::chrono::duration<double>(work).count() * slowdown(aFlow->mUpstream));
  upstream.start(taken, [this, aFlow, work](bool aIsRun) { answered(aFlow, aIsRun, work); });
}

void Experiment::answered(const FlowPtr& aFlow, bool aIsRun, base::Duration aWork)
{
  const base::Time now = mService.mEvents.now();
  aFlow->mIsBusy = false;
  mPolicy->answered(aFlow, now - aFlow->mStarted);
  const double latency = milliseconds(now - aFlow->mRequestSent + kCallerDelay);
  mSecond.mAnswered += aIsRun ? 1 : 0;
  mSecond.mShed += aIsRun ? 0 : 1;
  if (aIsRun) {
    mSecond.mWork += std::chrono::duration<double>(aWork).count();
    mSecondLatencies.push_back(latency);
  }
  if (isMeasured() && aIsRun) {
    mMeasures.mLatencies.push_back(latency);
    mResponses[aFlow->mUpstream].push_back(milliseconds(now - aFlow->mStarted));
  }
  if (--aFlow->mRequestsLeft == 0) {
    mActive[aFlow->mUpstream].erase(aFlow);
    mPolicy->closed(aFlow, false);
    return;
  }
  const base::Duration think = seconds(mWorkload.mKinds[aFlow->mKind].mThink);
  mService.mEvents.after(think + kCallerDelay, [this, aFlow] { sendRequest(aFlow); });
}

void Experiment::lost(const FlowPtr& aFlow)
{
  if (mActive[aFlow->mUpstream].erase(aFlow) > 0) {
    ++mMeasures.mLostByEvent;
    ++mSecond.mBroken;
    mPolicy->closed(aFlow, true);
  }
}

void Experiment::restart(std::size_t aUpstream)
{
  mService.mUpstreams[aUpstream].restart(seconds(mSettings.mColdSeconds), mSettings.mColdSlots);
  // The system of the upstream resets what had a request in progress; the others notice later.
  std::vector<FlowPtr> busy;
  std::copy_if(mActive[aUpstream].begin(),
               mActive[aUpstream].end(),
               std::back_inserter(busy),
               [](const FlowPtr& aFlow) { return aFlow->mIsBusy; });
  std::sort(busy.begin(), busy.end(), [](const FlowPtr& aLeft, const FlowPtr& aRight) {
    return aLeft->mHash < aRight->mHash;
  });
  for (const FlowPtr& flow : busy) {
    lost(flow);
  }
}

void Experiment::setEligible(std::size_t aUpstream, bool aIsEligible)
{
  mService.mIsEligible[aUpstream] = aIsEligible;
  mPolicy->reconfigured();
}

void Experiment::scheduleDisturbance()
{
  const auto at = [this](double aSeconds, std::function<void()> aCallback) {
    mService.mEvents.after(kSecond * mSettings.mSettleSeconds + seconds(aSeconds),
                           std::move(aCallback));
  };
  switch (mSettings.mDisturbance) {
    case Disturbance::kNone:
      return;
    case Disturbance::kCold:
      at(10, [this] { restart(1); });
      return;
    case Disturbance::kSilent:
      at(10, [this] {
        mService.mUpstreams[1].slowDown(seconds(mSettings.mColdSeconds), mSettings.mColdSlots);
      });
      return;
    case Disturbance::kBurst:
      at(10, [this] { mBurst = 3; });
      at(20, [this] { mBurst = 1; });
      return;
    case Disturbance::kCleaning:
      scheduleCleaning();
      return;
    case Disturbance::kZone:
      for (std::size_t i = 1; i < mService.mUpstreams.size(); i += kZones) {
        at(10, [this, i] {
          setEligible(i, false);
          restart(i);
        });
        at(30, [this, i] {
          restart(i);
          setEligible(i, true);
        });
      }
      return;
  }
}

// Each upstream drains for half of its turn, restarts and returns cold.
void Experiment::scheduleCleaning()
{
  const double turn = static_cast<double>(mSettings.mSeconds) / mWorkload.mUpstreams;
  for (std::size_t i = 0; i < mService.mUpstreams.size(); ++i) {
    const base::Duration begin =
      kSecond * mSettings.mSettleSeconds + seconds(turn * static_cast<double>(i));
    mService.mEvents.after(begin, [this, i] { setEligible(i, false); });
    mService.mEvents.after(begin + seconds(turn / 2), [this, i] {
      restart(i);
      setEligible(i, true);
    });
  }
}

void Experiment::endSecond()
{
  double sum = 0;
  double highest = 0;
  std::size_t eligible = 0;
  for (std::size_t i = 0; i < mService.mUpstreams.size(); ++i) {
    mSecond.mLoads.push_back(mService.mUpstreams[i].takeMeanLoad());
    if (mService.mUpstreams[i].isCold() && mSecond.mLoads.back() > mSettings.mColdSlots) {
      ++mMeasures.mSecondsAboveCold;
    }
    if (mService.mIsEligible[i] && !mService.mUpstreams[i].isCold()) {
      sum += mSecond.mLoads.back();
      highest = std::max(highest, mSecond.mLoads.back());
      ++eligible;
    }
  }
  mSecond.mImbalance = sum > 0 ? highest / (sum / static_cast<double>(eligible)) : 1;
  mSecond.mHeld = mPolicy->held();
  mSecond.mLatencyP99 = quantile(mSecondLatencies, 0.99);
  if (isMeasured()) {
    mSecond.mSecond = static_cast<std::uint32_t>(mMeasures.mSeconds.size());
    mMeasures.mSeconds.push_back(mSecond);
  }
  mSecond = {};
  mSecondLatencies.clear();
}

double Experiment::sample(double aMean)
{
  const double meanOfLogarithm = logarithm(aMean) - kWorkSpread * kWorkSpread / 2;
  return mService.mRandom.logNormal(meanOfLogarithm, kWorkSpread);
}

// Without tails no number is drawn, so that earlier figures stay comparable.
double Experiment::slowdown(std::size_t aUpstream)
{
  const double slow = mSettings.mSlowShare * mWorkload.mUpstreams;
  double factor = static_cast<double>(aUpstream) < std::round(slow) ? 1 / mSettings.mSlowSpeed : 1;
  if (mSettings.mTailShare > 0) {
    factor *= mService.mRandom.happens(mSettings.mTailShare) ? mSettings.mTailFactor : 1;
  }
  return factor;
}

double Experiment::wave() const
{
  const double now =
    std::chrono::duration<double>(mService.mEvents.now().time_since_epoch()).count();
  return 1 + mSettings.mWave * sineOfTurns(now / kWavePeriod);
}

double Experiment::responseImbalance() const
{
  double sum = 0;
  double highest = 0;
  for (const auto& responses : mResponses) {
    const double total = std::accumulate(responses.begin(), responses.end(), 0.0);
    const double mean = responses.empty() ? 0 : total / static_cast<double>(responses.size());
    sum += mean;
    highest = std::max(highest, mean);
  }
  return sum > 0 ? highest * static_cast<double>(mResponses.size()) / sum : 1;
}

bool Experiment::isMeasured() const
{
  return mService.mEvents.now() > mStart;
}

} // namespace cornelcross::bench
