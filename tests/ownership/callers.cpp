#include "ownership/callers.hpp"

#include "unit/support/configuration.hpp"
#include "unit/support/sealed_packets.hpp"

#include <array>
#include <utility>

namespace cornelcross::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint8_t kSealedRst = 2;
constexpr std::uint32_t kRequestBytes = 50;
constexpr std::uint32_t kInitialSequence = 5000;

// Exceptions of section 2 of docs/design/LOAD-AND-RECOVERY.md.
constexpr base::Duration kCalmBefore = seconds(5);
constexpr base::Duration kMaxAge = seconds(60);
constexpr base::Duration kMaxIdle = seconds(15);

constexpr base::Duration kStrayWindow = seconds(2);
constexpr std::size_t kMaxStrays = 2;

/// Difference between a RST's sequence number and the last acknowledgement that a caller accepts.
constexpr std::uint32_t kResetWindow = 65536;

} // namespace

Callers::Callers(EventQueue& aEvents, membership::Random& aRandom, Fleet& aFleet)
  : mEvents(aEvents), mRandom(aRandom), mFleet(aFleet)
{
  mFleet.setHooks([this](std::size_t aVm, const flow::Bytes& aPacket) { onPacket(aVm, aPacket); },
                  [this](UpstreamInstance aInstance, const flow::Bytes& aPacket, bool aIsHeld) {
                    onArrival(aInstance, aPacket, aIsHeld);
                  });
}

void Callers::start(std::size_t aCount, base::Time aEnd)
{
  mEnd = aEnd;
  for (std::size_t i = 0; i < aCount; ++i) {
    mEvents.after(mRandom.between(seconds(3), seconds(6)), [this] { open(); });
  }
}

void Callers::open()
{
  if (mEvents.now() >= mEnd) {
    return;
  }
  constexpr std::uint32_t kPorts = 1000;
  auto flow = std::make_shared<Flow>();
  const std::uint32_t index = mFlowCount++;
  flow->mKey = { { { 0x64400000U + index / kPorts },
                   static_cast<std::uint16_t>(1 + index % kPorts) },
                 kServiceAddress };
  flow->mNext = kInitialSequence;
  mFlows[flow->mKey] = flow;
  sendSyn(flow, 0);
}

void Callers::sendSyn(const FlowPtr& aFlow, std::size_t aAttempt)
{
  constexpr std::array<base::Duration, 3> kWaits = { milliseconds(200),
                                                     milliseconds(400),
                                                     milliseconds(800) };
  if (aFlow->mState != State::kOpening) {
    return;
  }
  if (aAttempt == kWaits.size()) {
    end(*aFlow);
    return;
  }
  send(*aFlow, kSealedSyn, 0);
  mEvents.after(kWaits.at(aAttempt), [this, aFlow, aAttempt] { sendSyn(aFlow, aAttempt + 1); });
}

// Routers send the packets of a flow to one balancer, to another one while that is not ready.
void Callers::send(Flow& aFlow, std::uint8_t aFlags, std::uint32_t aBytes)
{
  const std::size_t first = aFlow.mKey.hash() % Fleet::kBalancers;
  for (std::size_t i = 0; i < Fleet::kBalancers; ++i) {
    aFlow.mBalancer = (first + i) % Fleet::kBalancers;
    if (mFleet.vms()[aFlow.mBalancer].mIsReady) {
      break;
    }
  }
  aFlow.mLastSentAt = mEvents.now();
  const bool isSyn = (aFlags & kSealedSyn) != 0;
  if (aFlow.mState == State::kOpen && !mFleet.isHeld(aFlow.mKey, aFlow.mUpstreamInitial)) {
    const bool isKnowable = mFleet.vms()[mFleet.acceptedBy(aFlow.mUpstreamInitial).mVm].mIsReady;
    aFlow.mDeadPacketAt = aFlow.mDeadPacketAt.value_or(mEvents.now());
    mReport.mDead += isKnowable && !aFlow.mIsCountedDead ? 1 : 0;
    aFlow.mIsCountedDead = aFlow.mIsCountedDead || isKnowable;
  }
  mFleet.sendFromCaller(aFlow.mBalancer,
                        makeSealed({ aFlow.mKey.mCaller,
                                     aFlow.mKey.mService,
                                     aFlags,
                                     aFlow.mNext,
                                     isSyn ? 0 : aFlow.mAcknowledged,
                                     aBytes }));
}

void Callers::request(const FlowPtr& aFlow)
{
  if (aFlow->mState != State::kOpen) {
    return;
  }
  aFlow->mPause = mEvents.now() - aFlow->mLastSentAt;
  aFlow->mIsAnswered = false;
  ++aFlow->mRequests;
  const base::Duration limit = mRandom.below(2) == 0
                                 ? base::Duration(seconds(6))
                                 : mRandom.between(milliseconds(1200), seconds(2));
  sendRequest(aFlow, aFlow->mRequests, milliseconds(200), mEvents.now() + limit);
}

void Callers::sendRequest(const FlowPtr& aFlow,
                          std::uint32_t aRequest,
                          base::Duration aWait,
                          base::Time aDeadline)
{
  constexpr base::Duration kMaxWait = milliseconds(1600);
  if (aFlow->mState != State::kOpen || aFlow->mIsAnswered || aFlow->mRequests != aRequest) {
    return;
  }
  if (mEvents.now() >= aDeadline) {
    end(*aFlow);
    return;
  }
  send(*aFlow, kSealedAck, kRequestBytes);
  mEvents.at(std::min(mEvents.now() + aWait, aDeadline),
             [=, this] { sendRequest(aFlow, aRequest, std::min(2 * aWait, kMaxWait), aDeadline); });
}

void Callers::end(Flow& aFlow)
{
  aFlow.mState = State::kEnded;
  mEvents.after(mRandom.between(milliseconds(50), milliseconds(500)), [this] { open(); });
}

void Callers::recordPacket(std::size_t aVm, const flow::Bytes& aPacket)
{
  ++mReport.mPackets;
  mReport.mFingerprint.add(static_cast<std::uint64_t>(mEvents.now().time_since_epoch().count()));
  mReport.mFingerprint.add(aVm);
  mReport.mFingerprint.add(aPacket);
}

void Callers::onPacket(std::size_t aVm, const flow::Bytes& aPacket)
{
  constexpr std::size_t kCloseEvery = 15;
  constexpr std::size_t kScale = 100;
  recordPacket(aVm, aPacket);
  const flow::TcpPacket packet = *platform::parsePacket(aPacket);
  const auto found = mFlows.find(packet.keyFromUpstream());
  if (found == mFlows.end() || found->second->mState == State::kEnded) {
    return;
  }
  const FlowPtr flow = found->second;
  if (packet.has(flow::kRst)) {
    const bool isAccepted = flow->mState == State::kOpening
                              ? packet.mSequence == 0
                              : packet.mSequence - flow->mAcknowledged < kResetWindow ||
                                  flow->mAcknowledged - packet.mSequence < kResetWindow;
    if (isAccepted) {
      onReset(*flow, aVm);
    }
    return;
  }
  if (packet.has(flow::kSyn)) {
    if (flow->mState == State::kOpening) {
      flow->mState = State::kOpen;
      flow->mOpenedAt = mEvents.now();
      flow->mUpstreamInitial = packet.mSequence;
      flow->mAcknowledged = packet.mSequence + 1;
      flow->mNext = kInitialSequence + 1;
      ++mReport.mOpened;
      send(*flow, kSealedAck, 0);
      request(flow);
    }
    return;
  }
  const bool isAnswer = flow->mState == State::kOpen && !flow->mIsAnswered &&
                        packet.mSequence == flow->mAcknowledged &&
                        packet.mAcknowledgement == flow->mNext + kRequestBytes;
  if (!isAnswer) {
    return;
  }
  flow->mIsAnswered = true;
  flow->mNext += kRequestBytes;
  flow->mAcknowledged = packet.nextSequence();
  if (mRandom.below(kCloseEvery) == 0 || mEvents.now() >= mEnd) {
    send(*flow, kSealedRst | kSealedAck, 0);
    end(*flow);
    return;
  }
  const std::size_t kind = mRandom.below(kScale);
  const base::Duration pause = kind < 50   ? mRandom.between(milliseconds(20), milliseconds(500))
                               : kind < 85 ? mRandom.between(milliseconds(500), seconds(5))
                                           : mRandom.between(seconds(5), seconds(18));
  mEvents.after(pause, [this, flow] { request(flow); });
}

bool Callers::isDisturbed(std::size_t aVm) const
{
  return mEvents.now() - mFleet.vms()[aVm].mDisturbedAt < kCalmBefore;
}

bool Callers::isExempt(const Flow& aFlow) const
{
  return mEvents.now() - aFlow.mOpenedAt > kMaxAge || aFlow.mPause > kMaxIdle ||
         isDisturbed(aFlow.mBalancer) || isDisturbed(mFleet.acceptedBy(aFlow.mUpstreamInitial).mVm);
}

void Callers::reportViolation(const Flow& aFlow, const std::string& aText)
{
  const auto time = std::chrono::duration_cast<milliseconds>(mEvents.now().time_since_epoch());
  const UpstreamInstance owner = mFleet.acceptedBy(aFlow.mUpstreamInitial);
  mReport.mViolations.push_back(std::to_string(time.count()) + " ms, flow " +
                                aFlow.mKey.toString() + " of VM " + std::to_string(owner.mVm) +
                                ", start " + std::to_string(owner.mStart) + ": " + aText);
}

void Callers::onReset(Flow& aFlow, std::size_t aVm)
{
  if (aFlow.mState == State::kOpen) {
    const Vm& owner = mFleet.vms()[mFleet.acceptedBy(aFlow.mUpstreamInitial).mVm];
    if (!mFleet.isHeld(aFlow.mKey, aFlow.mUpstreamInitial)) {
      const base::Time sent = aFlow.mDeadPacketAt.value_or(mEvents.now());
      const base::Time ready = owner.mIsReady ? owner.mReadySince : sent;
      mReport.mDead += aFlow.mIsCountedDead ? 0 : 1;
      mReport.mResetAfter.push_back(mEvents.now() - std::max(sent, ready));
    } else if (isExempt(aFlow) || isDisturbed(aVm)) {
      ++mReport.mExempt;
    } else {
      reportViolation(aFlow, "reset by VM " + std::to_string(aVm) + " while its upstream holds it");
    }
  }
  end(aFlow);
}

void Callers::onArrival(UpstreamInstance aInstance, const flow::Bytes& aPacket, bool aIsHeld)
{
  recordPacket(aInstance.mVm, aPacket);
  mReport.mFingerprint.add(aInstance.mStart);
  mReport.mFingerprint.add(std::uint64_t{ aIsHeld });
  const flow::TcpPacket packet = *platform::parsePacket(aPacket);
  const auto found = mFlows.find(packet.keyFromCaller());
  if (packet.isInitialSyn() || found == mFlows.end() || found->second->mUpstreamInitial == 0) {
    return;
  }
  Flow& flow = *found->second;
  if (aInstance == mFleet.acceptedBy(flow.mUpstreamInitial)) {
    flow.mHasArrived = flow.mHasArrived || aIsHeld;
    return;
  }
  if (!flow.mStrayAt) {
    flow.mStrayAt = mEvents.now();
    flow.mStrays = 0;
    flow.mHasArrived = false;
    flow.mWasExempt = isExempt(flow) || flow.mState == State::kEnded;
    mEvents.after(kStrayWindow, [this, kept = found->second] { checkStrays(*kept); });
  }
  ++flow.mStrays;
}

void Callers::checkStrays(Flow& aFlow)
{
  const base::Time since = *std::exchange(aFlow.mStrayAt, std::nullopt);
  const bool isAlive = mFleet.isHeld(aFlow.mKey, aFlow.mUpstreamInitial);
  if (aFlow.mStrays <= kMaxStrays || aFlow.mHasArrived || !isAlive) {
    return;
  }
  if (aFlow.mWasExempt || isExempt(aFlow)) {
    ++mReport.mExemptStrays;
    return;
  }
  const auto time = std::chrono::duration_cast<milliseconds>(since.time_since_epoch());
  reportViolation(aFlow,
                  std::to_string(aFlow.mStrays) + " packets at other upstreams from " +
                    std::to_string(time.count()) + " ms on, none at its own");
}

} // namespace cornelcross::test
