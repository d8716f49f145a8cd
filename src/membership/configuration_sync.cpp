#include "membership/configuration_sync.hpp"

#include <algorithm>

namespace cornelcross::membership {

namespace {

constexpr base::Duration kConfirmInterval = std::chrono::milliseconds(500);
constexpr base::Duration kRejectedInterval = std::chrono::seconds(1);
constexpr base::Duration kHistoryInterval = std::chrono::seconds(2);
constexpr unsigned kMaxHistoryPulls = 6; // the last one a minute after the start
constexpr unsigned kRejectedTries = 3;   // peers asked for an accepted version

std::uint32_t toMilliseconds(base::Duration aAge)
{
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(aAge).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, wire::kUnknownAgeMs - 1));
}

} // namespace

ConfigurationSync::ConfigurationSync(const Settings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.mRandomSeed)
  , mPeers(aSettings.mSelf, aSettings.mSeeds)
  , mPulls(aSettings)
  , mService(aSettings)
  , mConfirmation(aSettings)
{
}

Actions ConfigurationSync::start(base::Time aNow)
{
  mObservedAt = aNow;
  mConfirmation.begin(aNow);
  // With seeds the first documents come from a peer, and the service is asked for the rest.
  mService.readSoon(mSettings.mSeeds.empty() ? aNow : aNow + mSettings.mSeedLeadTime);
  return onTick(aNow);
}

Actions ConfigurationSync::observe(base::Time aNow)
{
  const bool wasPaused = aNow - mObservedAt > mSettings.mPauseGap;
  const base::Duration gap = aNow - mObservedAt;
  mObservedAt = aNow;
  if (!wasPaused) {
    return {};
  }
  mConfirmation.begin(aNow);
  mService.readSoon(aNow);
  mConfirmAt = aNow;
  return { telemetry::Event{ telemetry::EventKind::kProcessPaused,
                             { { "gap_ms", std::to_string(toMilliseconds(gap)) },
                               { "revision", std::to_string(mRevision) } } } };
}

Actions ConfigurationSync::onTick(base::Time aNow)
{
  Actions actions = observe(aNow);
  if (aNow >= mHeartbeatAt) {
    // A fifth of jitter, so that processes which started together drift apart.
    mHeartbeatAt = aNow + mSettings.mHeartbeatInterval * 9 / 10 +
                   mRandom.between({}, mSettings.mHeartbeatInterval / 5);
    mPeers.expire(aNow);
    tell(aNow, mSettings.mHeartbeatPeers, actions);
  }
  confirm(aNow, actions);
  pull(aNow, actions);
  pullRetainedState(aNow, actions);
  readService(aNow, actions);
  finishConfirmation(aNow, actions);
  return actions;
}

wire::Heartbeat ConfigurationSync::makeHeartbeat(base::Time aNow) const
{
  wire::Heartbeat heartbeat;
  heartbeat.mSender = mSettings.mSelf;
  heartbeat.mIsConfirmed = mConfirmation.isConfirmed();
  const auto age = mService.age(aNow);
  heartbeat.mServiceAgeMs = age ? toMilliseconds(*age) : wire::kUnknownAgeMs;
  return heartbeat;
}

void ConfigurationSync::tell(base::Time aNow, std::size_t aPeers, Actions& aActions)
{
  for (const flow::Endpoint peer : mPeers.sample(mRandom, aPeers)) {
    aActions.emplace_back(SendHeartbeat{ peer, makeHeartbeat(aNow) });
  }
}

void ConfigurationSync::confirm(base::Time aNow, Actions& aActions)
{
  if (mConfirmation.isConfirmed() || aNow < mConfirmAt) {
    return;
  }
  mConfirmAt = aNow + kConfirmInterval;
  if (++mNonce == 0) {
    ++mNonce;
  }
  for (const flow::Endpoint peer : mPeers.sample(mRandom, mSettings.mConfirmPeers)) {
    wire::Heartbeat question = makeHeartbeat(aNow);
    question.mNonce = mNonce;
    question.mIsReplyRequested = true;
    mConfirmation.asked(aNow, peer);
    aActions.emplace_back(SendHeartbeat{ peer, question });
  }
}

void ConfigurationSync::finishConfirmation(base::Time aNow, Actions& aActions)
{
  if (!mConfirmation.update(aNow, mRevision)) {
    return;
  }
  aActions.emplace_back(
    telemetry::Event{ telemetry::EventKind::kConfigConfirmed,
                      { { "revision", std::to_string(mRevision) },
                        { "by", mConfirmation.hasTimedOut() ? "timeout" : "answer" } } });
}

void ConfigurationSync::pull(base::Time aNow, Actions& aActions)
{
  if (const auto peer = mPulls.start(aNow, mRevision, mRandom)) {
    aActions.emplace_back(StartPull{ *peer, { mRevision, mRejected } });
    return;
  }
  // A peer may hold an accepted version of a key whose newest document was rejected here.
  if (mRejectedTries == 0 || mPulls.isInProgress() || aNow < mRejectedAt) {
    return;
  }
  for (const flow::Endpoint peer : mPeers.sample(mRandom, 1)) {
    --mRejectedTries;
    mRejectedAt = aNow + kRejectedInterval;
    mPulls.begin(peer);
    aActions.emplace_back(StartPull{ peer, { mRevision, mRejected } });
  }
}

void ConfigurationSync::readService(base::Time aNow, Actions& aActions)
{
  if (const auto wait = mService.start(aNow, isReader(), mRandom)) {
    aActions.emplace_back(ReadService{ mRevision, *wait });
  }
}

// A process that starts learns from one that has been there what may still hold flows although no
// document tells of it any more.
void ConfigurationSync::recordRetainedStatePeer(base::Time aNow, flow::Endpoint aPeer)
{
  if (!mRetainedStatePeer) {
    // A pull of new documents, which comes first, brings it too.
    mNextRetainedStatePull =
      aNow + mSettings.mPullJitter + mRandom.between({}, mSettings.mPullJitter);
  }
  mRetainedStatePeer = aPeer;
}

void ConfigurationSync::pullRetainedState(base::Time aNow, Actions& aActions)
{
  const bool isDue =
    mNeedsRetainedState && mRetainedStatePeer && mRetainedStatePulls < kMaxHistoryPulls;
  if (!isDue || mPulls.isInProgress() || aNow < mNextRetainedStatePull) {
    return;
  }
  // Peers that have just started themselves know no more: ever longer between the questions.
  mNextRetainedStatePull = aNow + kHistoryInterval * (1U << mRetainedStatePulls);
  ++mRetainedStatePulls;
  mPulls.begin(*mRetainedStatePeer);
  aActions.emplace_back(StartPull{ *mRetainedStatePeer, { mRevision, mRejected } });
}

void ConfigurationSync::hint(base::Time aNow, flow::Endpoint aPeer, std::uint64_t aRevision)
{
  if (aRevision > mRevision && aPeer != mSettings.mSelf) {
    mPulls.hint(aNow, aPeer, aRevision, mRandom);
  }
}

Actions ConfigurationSync::onFrame(base::Time aNow, flow::Endpoint aFrom, std::uint64_t aRevision)
{
  Actions actions = observe(aNow);
  mPeers.heard(aNow, aFrom);
  hint(aNow, aFrom, aRevision);
  return actions;
}

Actions ConfigurationSync::onHeartbeat(base::Time aNow,
                                       std::uint64_t aRevision,
                                       const wire::Heartbeat& aHeartbeat)
{
  Actions actions = onFrame(aNow, aHeartbeat.mSender, aRevision);
  if (aHeartbeat.mServiceAgeMs != wire::kUnknownAgeMs) {
    mService.heard(aNow, std::chrono::milliseconds(aHeartbeat.mServiceAgeMs));
  }
  if (aHeartbeat.mIsReply && aHeartbeat.mNonce == mNonce && !mConfirmation.isConfirmed()) {
    mConfirmation.replied(aHeartbeat.mSender, aRevision, aHeartbeat.mIsConfirmed);
    finishConfirmation(aNow, actions);
  }
  if (aHeartbeat.mIsReply && aHeartbeat.mIsConfirmed) {
    recordRetainedStatePeer(aNow, aHeartbeat.mSender);
  }
  const bool isBehind = aRevision < mRevision && !aHeartbeat.mIsReply;
  if (aHeartbeat.mIsReplyRequested || isBehind) {
    wire::Heartbeat reply = makeHeartbeat(aNow);
    reply.mNonce = aHeartbeat.mNonce;
    reply.mIsReply = true;
    actions.emplace_back(SendHeartbeat{ aHeartbeat.mSender, reply });
  }
  return actions;
}

Actions ConfigurationSync::onPulled(base::Time aNow, std::optional<std::uint64_t> aRevision)
{
  Actions actions = observe(aNow);
  mPulls.finished(aNow, aRevision.has_value(), mRevision, mRandom);
  mNextRetainedStatePull = std::max(mNextRetainedStatePull, aNow + kHistoryInterval);
  pull(aNow, actions);
  finishConfirmation(aNow, actions);
  return actions;
}

Actions ConfigurationSync::onServiceAnswer(base::Time aNow, std::optional<std::uint64_t> aRevision)
{
  Actions actions = observe(aNow);
  const bool isFresh = aRevision && *aRevision >= mRevision;
  mService.finished(aNow, isFresh, mRandom);
  if (aRevision) {
    mConfirmation.serviceAnswered(*aRevision);
  }
  readService(aNow, actions);
  finishConfirmation(aNow, actions);
  return actions;
}

Actions ConfigurationSync::apply(base::Time aNow,
                                 const config::Configuration& aConfiguration,
                                 std::vector<std::string> aRejected)
{
  const bool isFirst = mRevision == 0;
  mRevision = aConfiguration.mRevision;
  mPeers.apply(aConfiguration, mSettings.mZone);
  if (aRejected != mRejected) {
    mRejected = std::move(aRejected);
    mRejectedTries = mRejected.empty() ? 0 : kRejectedTries;
  }
  Actions actions;
  if (isFirst) {
    // Peers are known only now: ask them before acting on what may be stale.
    mConfirmAt = aNow;
    confirm(aNow, actions);
  }
  tell(aNow, mSettings.mAnnouncePeers, actions);
  return actions;
}

} // namespace cornelcross::membership
