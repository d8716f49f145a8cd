#include "membership/configuration_sync.hpp"

#include <algorithm>

namespace cornelcross::membership {

namespace {

constexpr base::Duration kConfirmationQueryInterval = std::chrono::milliseconds(500);
constexpr base::Duration kRejectedKeyPullInterval = std::chrono::seconds(1);
constexpr base::Duration kRetainedStatePullInterval = std::chrono::seconds(2);
constexpr unsigned kMaxRetainedStatePulls = 6; // the last is about a minute after the start
constexpr base::Duration kPeerDocumentsTimeout = std::chrono::seconds(1);

/// Age of the newest response while readers watch the service without failures: a watch ends after
/// three seconds, and its result spreads within two.
constexpr base::Duration kMaxCurrentAge = std::chrono::seconds(5);

constexpr unsigned kMaxRejectedKeyPulls = 3; // peers queried for an accepted version of a key

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
  , mPullSchedule(aSettings)
  , mServiceSchedule(aSettings)
  , mConfirmation(aSettings)
{
}

Actions ConfigurationSync::start(base::Time aNow)
{
  mLastCall = aNow;
  mConfirmation.startRound(aNow);
  if (mSettings.mSeeds.empty()) {
    mServiceSchedule.requestRead(aNow);
  } else {
    mFirstReadDecision = aNow + mSettings.mSeedLeadTime;
  }
  return onTick(aNow);
}

Actions ConfigurationSync::detectPause(base::Time aNow)
{
  const bool wasPaused = aNow - mLastCall > mSettings.mPauseThreshold;
  const base::Duration gap = aNow - mLastCall;
  mLastCall = aNow;
  if (!wasPaused) {
    return {};
  }
  mConfirmation.startRound(aNow);
  mServiceSchedule.requestCheck(aNow);
  mIsReadOutdated = true;
  mFirstReadDecision.reset();
  mNextConfirmationQuery = aNow;
  return { telemetry::Event{ telemetry::EventKind::kProcessPaused,
                             { { "gap_ms", std::to_string(toMilliseconds(gap)) },
                               { "revision", std::to_string(mRevision) } } } };
}

Actions ConfigurationSync::onTick(base::Time aNow)
{
  Actions actions = detectPause(aNow);
  if (aNow >= mNextHeartbeat) {
    // Jitter of a fifth of the interval, so that processes which started at the same time do not
    // stay synchronised.
    mNextHeartbeat = aNow + mSettings.mHeartbeatInterval * 9 / 10 +
                     mRandom.between({}, mSettings.mHeartbeatInterval / 5);
    mPeers.expire(aNow);
    sendHeartbeats(aNow, mSettings.mHeartbeatPeerCount, actions);
  }
  sendConfirmationQueries(aNow, actions);
  startPullIfDue(aNow, actions);
  pullRetainedStateIfDue(aNow, actions);
  readServiceIfDue(aNow, actions);
  updateConfirmation(aNow, actions);
  return actions;
}

wire::Heartbeat ConfigurationSync::makeHeartbeat(base::Time aNow) const
{
  wire::Heartbeat heartbeat;
  heartbeat.mSender = mSettings.mSelf;
  heartbeat.mIsConfirmed = mConfirmation.isConfirmed();
  const auto age = mServiceSchedule.responseAge(aNow);
  heartbeat.mServiceAgeMs = age ? toMilliseconds(*age) : wire::kUnknownAgeMs;
  return heartbeat;
}

void ConfigurationSync::sendHeartbeats(base::Time aNow, std::size_t aPeerCount, Actions& aActions)
{
  for (const flow::Endpoint peer : mPeers.sample(mRandom, aPeerCount)) {
    aActions.emplace_back(SendHeartbeat{ peer, makeHeartbeat(aNow) });
  }
}

void ConfigurationSync::sendConfirmationQueries(base::Time aNow, Actions& aActions)
{
  if (mConfirmation.isConfirmed() || aNow < mNextConfirmationQuery) {
    return;
  }
  mNextConfirmationQuery = aNow + kConfirmationQueryInterval;
  if (++mNonce == 0) {
    ++mNonce;
  }
  for (const flow::Endpoint peer : mPeers.sample(mRandom, mSettings.mConfirmationPeerCount)) {
    wire::Heartbeat query = makeHeartbeat(aNow);
    query.mNonce = mNonce;
    query.mIsReplyRequested = true;
    mConfirmation.onQuerySent(aNow, peer);
    aActions.emplace_back(SendHeartbeat{ peer, query });
  }
}

void ConfigurationSync::updateConfirmation(base::Time aNow, Actions& aActions)
{
  if (!mConfirmation.update(aNow, mRevision)) {
    return;
  }
  aActions.emplace_back(
    telemetry::Event{ telemetry::EventKind::kConfigConfirmed,
                      { { "revision", std::to_string(mRevision) },
                        { "by", mConfirmation.hasTimedOut() ? "timeout" : "answer" } } });
}

void ConfigurationSync::startPullIfDue(base::Time aNow, Actions& aActions)
{
  if (const auto peer = mPullSchedule.start(aNow, mRevision, mRandom)) {
    aActions.emplace_back(StartPull{ *peer, { mRevision, mRejectedKeys } });
    return;
  }
  // A peer may store an accepted version of a key whose newest document was rejected here.
  if (mRejectedKeyPullsLeft == 0 || mPullSchedule.isInProgress() || aNow < mNextRejectedKeyPull) {
    return;
  }
  for (const flow::Endpoint peer : mPeers.sample(mRandom, 1)) {
    --mRejectedKeyPullsLeft;
    mNextRejectedKeyPull = aNow + kRejectedKeyPullInterval;
    mPullSchedule.markInProgress(peer);
    aActions.emplace_back(StartPull{ peer, { mRevision, mRejectedKeys } });
  }
}

// A process that starts beside running ones gets its documents from a peer, like every process that
// is not a reader. It reads the service itself if no peer has recent documents, or if the documents
// of the peers do not arrive.
void ConfigurationSync::decideFirstRead(base::Time aNow)
{
  const auto age = serviceAge(aNow);
  // Readers that back off for long may miss the end of an outage, which a first read notices.
  const bool doReadersRetrySoon = mSettings.mServiceMaxBackoff <= kMaxCurrentAge;
  const bool isPeerCurrent =
    doReadersRetrySoon && age && *age < std::min(mSettings.mServiceStaleAfter, kMaxCurrentAge);
  if (isPeerCurrent && mConfirmation.isConfirmed()) {
    mServiceSchedule.skipFirstRead();
    mFirstReadDecision.reset();
  } else if (!isPeerCurrent || aNow >= *mFirstReadDecision + kPeerDocumentsTimeout) {
    mServiceSchedule.requestRead(aNow);
    mFirstReadDecision.reset();
  }
}

void ConfigurationSync::readServiceIfDue(base::Time aNow, Actions& aActions)
{
  if (mFirstReadDecision && aNow >= *mFirstReadDecision) {
    decideFirstRead(aNow);
  }
  if (mFirstReadDecision) {
    return;
  }
  if (const auto read = mServiceSchedule.start(aNow, isReader() || mIsProvisional, mRandom)) {
    mIsReadOutdated = false;
    aActions.emplace_back(ReadService{ mRevision, read->mWaitSeconds, read->mIsCheck });
  }
}

// A process that starts lacks the upstreams and services which no document lists any more but which
// may still own flows. It pulls them from a process that was running before.
void ConfigurationSync::recordRetainedStatePeer(base::Time aNow, flow::Endpoint aPeer)
{
  if (!mRetainedStatePeer) {
    // The delay leaves time for a pull of new documents, whose reply carries the retained state
    // too.
    mNextRetainedStatePull =
      aNow + mSettings.mPullJitter + mRandom.between({}, mSettings.mPullJitter);
  }
  mRetainedStatePeer = aPeer;
}

void ConfigurationSync::pullRetainedStateIfDue(base::Time aNow, Actions& aActions)
{
  const bool isDue =
    mNeedsRetainedState && mRetainedStatePeer && mRetainedStatePulls < kMaxRetainedStatePulls;
  if (!isDue || mPullSchedule.isInProgress() || aNow < mNextRetainedStatePull) {
    return;
  }
  // A peer that has just started lacks the state too, so the interval doubles with each pull.
  mNextRetainedStatePull = aNow + kRetainedStatePullInterval * (1U << mRetainedStatePulls);
  ++mRetainedStatePulls;
  mPullSchedule.markInProgress(*mRetainedStatePeer);
  aActions.emplace_back(StartPull{ *mRetainedStatePeer, { mRevision, mRejectedKeys } });
}

void ConfigurationSync::recordPeerRevision(base::Time aNow,
                                           flow::Endpoint aPeer,
                                           std::uint64_t aRevision)
{
  if (aRevision > mRevision && aPeer != mSettings.mSelf) {
    mPullSchedule.recordNewerPeer(aNow, aPeer, aRevision, mRandom);
  }
}

Actions ConfigurationSync::onFrame(base::Time aNow, flow::Endpoint aFrom, std::uint64_t aRevision)
{
  Actions actions = detectPause(aNow);
  mPeers.recordSender(aNow, aFrom);
  recordPeerRevision(aNow, aFrom, aRevision);
  return actions;
}

Actions ConfigurationSync::onHeartbeat(base::Time aNow,
                                       std::uint64_t aRevision,
                                       const wire::Heartbeat& aHeartbeat)
{
  Actions actions = onFrame(aNow, aHeartbeat.mSender, aRevision);
  if (aHeartbeat.mServiceAgeMs != wire::kUnknownAgeMs) {
    mServiceSchedule.recordResponseAge(aNow, std::chrono::milliseconds(aHeartbeat.mServiceAgeMs));
  }
  if (aHeartbeat.mIsReply && aHeartbeat.mNonce == mNonce && !mConfirmation.isConfirmed()) {
    mConfirmation.onReply(aHeartbeat.mSender, aRevision, aHeartbeat.mIsConfirmed);
    updateConfirmation(aNow, actions);
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

Actions ConfigurationSync::onPullFinished(base::Time aNow, std::optional<std::uint64_t> aRevision)
{
  Actions actions = detectPause(aNow);
  mPullSchedule.onPullFinished(aNow, aRevision.has_value(), mRevision, mRandom);
  mNextRetainedStatePull = std::max(mNextRetainedStatePull, aNow + kRetainedStatePullInterval);
  startPullIfDue(aNow, actions);
  updateConfirmation(aNow, actions);
  return actions;
}

Actions ConfigurationSync::onServiceReadFinished(base::Time aNow,
                                                 std::optional<std::uint64_t> aRevision,
                                                 bool aIsCurrent)
{
  Actions actions = detectPause(aNow);
  const bool isUpToDate = aRevision && *aRevision >= mRevision;
  mServiceSchedule.onReadFinished(aNow, isUpToDate, mRandom);
  // A response to a read from before a pause states what was current then. The pause may be the
  // time that this process took to apply the response, which a check costs far less of.
  if (aRevision && !mIsReadOutdated) {
    mConfirmation.onServiceResponse(*aRevision, aIsCurrent);
  }
  readServiceIfDue(aNow, actions);
  updateConfirmation(aNow, actions);
  return actions;
}

Actions ConfigurationSync::apply(base::Time aNow,
                                 const config::Configuration& aConfiguration,
                                 std::vector<std::string> aRejectedKeys)
{
  const bool isFirst = mRevision == 0;
  mRevision = aConfiguration.mRevision;
  mPeers.apply(aConfiguration, mSettings.mZone);
  if (aRejectedKeys != mRejectedKeys) {
    mRejectedKeys = std::move(aRejectedKeys);
    mRejectedKeyPullsLeft = mRejectedKeys.empty() ? 0 : kMaxRejectedKeyPulls;
  }
  Actions actions;
  if (isFirst) {
    // The first configuration lists the peers: query them before acting on documents that may be
    // stale.
    mNextConfirmationQuery = aNow;
    sendConfirmationQueries(aNow, actions);
  }
  sendHeartbeats(aNow, mSettings.mAnnouncementPeerCount, actions);
  return actions;
}

} // namespace cornelcross::membership
