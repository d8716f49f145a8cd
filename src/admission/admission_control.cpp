#include "admission/admission_control.hpp"

#include "admission/relative_speed.hpp"

#include <algorithm>
#include <cmath>

namespace cornelcross::admission {

namespace {

/// Time constant of the exponentially weighted mean load; it spans several requests and several
/// load reports.
constexpr base::Duration kMeanLoadTimeConstant = std::chrono::milliseconds(500);

/// Number of resets within kResetWindow that indicates a restart of the upstream. The application
/// itself may send a single reset.
constexpr std::uint32_t kResetsOnRestart = 2;
constexpr base::Duration kResetWindow = std::chrono::seconds(1);

/// Window over which the configured rate of new flows during a cold start is measured.
constexpr base::Duration kColdStartRateWindow = std::chrono::seconds(1);

/// Time between two new flows that an idle upstream gets while it fails, to detect its recovery.
constexpr base::Duration kFailingFlowInterval = std::chrono::seconds(1);

/// Weight of a new sample in the mean delay from an admission to the first request.
constexpr double kFirstRequestDelayWeight = 0.05;

} // namespace

AdmissionControl::AdmissionControl(const AdmissionSettings& aSettings)
  : mSettings(aSettings), mLimit(aSettings.mConcurrencyLimit)
{
}

// An upstream that was leaving, or whose availability zone was out of service, has been drained and
// most likely restarted, whether or not operators declare it joining.
void AdmissionControl::configure(base::Time aNow,
                                 std::uint32_t aSlots,
                                 bool aIsEligible,
                                 bool aIsJoining,
                                 config::ColdStart aColdStart)
{
  mColdStart = aColdStart;
  mLimit.configure(aSlots, aIsJoining);
  if ((aIsEligible && !mIsEligible) || (aIsJoining && !mIsJoining)) {
    onUpstreamRestarted(aNow);
  }
  mIsEligible = aIsEligible;
  mHasBeenEligible = mHasBeenEligible || aIsEligible;
  mIsJoining = aIsJoining;
}

// An agent that has just started cannot distinguish a cold upstream from a warm one unless the
// upstream is joining. The configured duration applies only to restarts that the agent observed.
void AdmissionControl::onUpstreamRestarted(base::Time aNow)
{
  mResponseTime.clear();
  mOutcomes = {};
  if (mHasBeenEligible && mColdStart.mDurationMs > 0) {
    mLimit.beginColdStart(aNow, std::chrono::milliseconds(mColdStart.mDurationMs));
  } else {
    mLimit.beginColdStart(aNow);
  }
  mLimit.advance(aNow);
}

bool AdmissionControl::isWithinColdStartRate(base::Time aNow) const
{
  if (!isCold() || mColdStart.mMaxNewFlowsPerSecond == 0) {
    return true;
  }
  const auto recent =
    std::count_if(mColdStartAdmissions.begin(),
                  mColdStartAdmissions.end(),
                  [&](base::Time aAdmitted) { return aNow - aAdmitted < kColdStartRateWindow; });
  return recent < static_cast<std::ptrdiff_t>(mColdStart.mMaxNewFlowsPerSecond);
}

AdmissionControl::Speed AdmissionControl::speed(base::Time aNow) const
{
  if (!mSettings.mBalancesBySpeed) {
    return {};
  }
  const base::Duration responseTime = mResponseTime.median(aNow);
  const base::Duration serviceMedian = mServiceLoad.medianResponseTime(aNow, responseTime);
  const double relative =
    isFailing() ? kMinRelativeSpeed : admission::relativeSpeed(serviceMedian, responseTime);
  return { relative, serviceMedian };
}

// An upstream that resets its requests at once is nearly always idle, so that this rule would give
// it more flows than the others.
bool AdmissionControl::isIdle(base::Time aNow) const
{
  return load() == 0 && (!isFailing() || aNow - mLastFlowOpenedAt >= kFailingFlowInterval);
}

// With few slots or little load, the fair share is below one request. An idle upstream is then the
// best choice all the same; without this rule each new flow would visit a whole page of candidates.
CandidateState AdmissionControl::candidateState(base::Time aNow, bool aIsEligible) const
{
  const Speed own = speed(aNow);
  const double fairShare =
    mServiceLoad.fairShare(aNow, meanLoad(aNow), requestLimit(), own.mRelative, own.mServiceMedian);
  const bool isWithinLoadBound = isIdle(aNow) || load() + 1 <= fairShare;
  // Rounded up, since a slow upstream with a free slot is better than a refusal.
  const double freeCapacity = std::ceil(freeFlowCapacity() * own.mRelative);
  return { aIsEligible && isWithinColdStartRate(aNow),
           isWithinLoadBound,
           static_cast<std::uint16_t>(std::min(freeCapacity, 65535.0)) };
}

void AdmissionControl::onFlowOpened(base::Time aNow)
{
  advance(aNow);
  ++mOpenFlows;
  ++mExpectedRequests;
  mLastFlowOpenedAt = aNow;
  if (isCold() && mColdStart.mMaxNewFlowsPerSecond > 0) {
    mColdStartAdmissions.push_back(aNow);
    while (aNow - mColdStartAdmissions.front() >= kColdStartRateWindow) {
      mColdStartAdmissions.pop_front();
    }
  }
}

// The flow is older than the agent, and therefore so is the upstream: only the agent restarted.
void AdmissionControl::onFlowAdopted(base::Time)
{
  if (!mIsJoining) {
    mLimit.endColdStart();
  }
  ++mOpenFlows;
}

void AdmissionControl::onFlowClosed(base::Time)
{
  --mOpenFlows;
}

void AdmissionControl::onFirstRequestTimeout(base::Time aNow)
{
  advance(aNow);
  --mExpectedRequests;
}

void AdmissionControl::onFirstRequest(base::Duration aDelay)
{
  mMeanFirstRequestDelayNs +=
    (static_cast<double>(aDelay.count()) - mMeanFirstRequestDelayNs) * kFirstRequestDelayWeight;
}

// By Little's law, an upstream at its limit completes limit / latency requests a second. That rate
// times the mean delay of a first request is the number of admitted flows whose first request is in
// transit. Without these additional flows a slot stays idle for a round trip after each response.
// The agent queues a request that arrives before a slot is free. A cold upstream receives no flow
// in advance.
std::uint32_t AdmissionControl::loadLimitForNewFlows() const
{
  const auto baseline = static_cast<double>(mLimit.baselineLatency().count());
  if (!mSettings.mConcurrencyLimit.mIsAdaptive) {
    const bool isBounded = isCold() && mColdStart.mMaxNewFlowsPerSecond > 0;
    return requestLimit() * (1 + (isBounded ? 0 : mSettings.mUpstreamQueuePerSlot));
  }
  if (isCold() || baseline <= 0) {
    return requestLimit();
  }
  const double inTransit = std::min(mMeanFirstRequestDelayNs / baseline, 1.0) * requestLimit();
  return requestLimit() + static_cast<std::uint32_t>(std::ceil(inTransit));
}

std::uint32_t AdmissionControl::freeFlowCapacity() const
{
  const std::uint32_t byLimit =
    load() < loadLimitForNewFlows() ? loadLimitForNewFlows() - load() : 0;
  const std::uint32_t byOpenFlows =
    mOpenFlows < mSettings.mMaxFlows ? mSettings.mMaxFlows - mOpenFlows : 0;
  return std::min(byLimit, byOpenFlows);
}

void AdmissionControl::onRequestStarted(base::Time aNow, bool aIsExpected)
{
  advance(aNow);
  ++mActiveRequests;
  mExpectedRequests -= aIsExpected ? 1 : 0;
}

void AdmissionControl::onRequestAnswered(base::Time aNow, base::Duration aLatency)
{
  advance(aNow);
  mLimit.onResponse(aNow, aLatency, load());
  if (mSettings.mBalancesBySpeed) {
    mResponseTime.record(aNow, aLatency);
    mOutcomes.recordAnswer();
  }
  --mActiveRequests;
}

void AdmissionControl::onRequestAborted(base::Time aNow)
{
  advance(aNow);
  --mActiveRequests;
}

void AdmissionControl::onUpstreamReset(base::Time aNow)
{
  if (mResetCount == 0 || aNow - mFirstResetTime > kResetWindow) {
    mResetCount = 0;
    mFirstResetTime = aNow;
  }
  if (++mResetCount >= kResetsOnRestart) {
    mLimit.beginColdStart(aNow);
    mResetCount = 0;
  }
}

void AdmissionControl::onRequestReset()
{
  if (mSettings.mBalancesBySpeed) {
    mOutcomes.recordReset();
  }
}

void AdmissionControl::onLoadReport(base::Time aNow, const wire::LoadReport& aReport)
{
  mServiceLoad.store(aNow, aReport);
}

base::Duration AdmissionControl::reportedLatency(base::Time aNow) const
{
  return mSettings.mBalancesBySpeed ? mResponseTime.median(aNow) : mLimit.recentLatency();
}

// The concurrency limit compares means. Where the reports carry medians, they are converted by the
// ratio of the upstream's own mean and median: the mean of a skewed distribution is above its
// median, which would otherwise reduce the limit of every upstream.
base::Duration AdmissionControl::referenceLatency(base::Time aNow) const
{
  const base::Duration reported = mServiceLoad.meanLatency(aNow);
  if (!mSettings.mBalancesBySpeed) {
    return reported;
  }
  const base::Duration median = mResponseTime.median(aNow);
  if (median <= base::Duration::zero()) {
    return base::Duration::zero();
  }
  const double meanPerMedian =
    static_cast<double>(mLimit.recentLatency().count()) / static_cast<double>(median.count());
  return base::Duration(
    static_cast<base::Duration::rep>(static_cast<double>(reported.count()) * meanPerMedian));
}

wire::LoadReport AdmissionControl::makeLoadReport(base::Time aNow, std::uint64_t aUpstream)
{
  advance(aNow);
  mLimit.setReferenceLatency(referenceLatency(aNow));
  const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(reportedLatency(aNow));
  return { aUpstream,
           mActiveRequests,
           requestLimit(),
           mOpenFlows,
           static_cast<std::uint32_t>(std::lround(mMeanLoad * wire::kLoadUnitsPerRequest)),
           static_cast<std::uint32_t>(latency.count()) };
}

double AdmissionControl::meanLoad(base::Time aNow) const
{
  const double elapsed =
    std::chrono::duration<double>(aNow - mMeanLoadUpdatedAt) / kMeanLoadTimeConstant;
  return load() + (mMeanLoad - load()) * std::exp(-elapsed);
}

void AdmissionControl::advance(base::Time aNow)
{
  mLimit.advance(aNow);
  mMeanLoad = meanLoad(aNow);
  mMeanLoadUpdatedAt = aNow;
}

} // namespace cornelcross::admission
