#include "agent/runtime.hpp"

#include "agent/agent_status.hpp"
#include "net/socket_metrics.hpp"
#include "telemetry/process_metrics.hpp"

namespace cornelcross::agent {

namespace {

constexpr base::Duration kFlowTimerInterval = std::chrono::seconds(1);

// The timers of the queue and of lookups run only while there is something to do, since each tick
// of an idle process would cost processor time.
constexpr base::Duration kQueueTimerInterval = std::chrono::milliseconds(20);
constexpr base::Duration kReportInterval = std::chrono::milliseconds(250);
constexpr base::Duration kProbeTimerInterval = std::chrono::milliseconds(100);

/// Half of the shortest time between two rounds of lookups.
constexpr base::Duration kLookupTimerInterval = std::chrono::milliseconds(25);

/// The upstream runs on the same VM. A connection that takes longer proves nothing.
constexpr base::Duration kConnectionTimeout = std::chrono::milliseconds(400);

constexpr std::size_t kMaxRecentRefusals = 16;

std::string toString(const std::optional<flow::Endpoint>& aEndpoint)
{
  return aEndpoint ? aEndpoint->toString() : "";
}

} // namespace

Runtime::Runtime(const RuntimeSettings& aSettings, net::DeploymentHooks aHooks)
  : mSettings(aSettings)
  , mHooks(applyingReloads(std::move(aHooks)))
  , mLog(aSettings.mName, aSettings.mMaxFlowLogLinesPerSecond)
  , mFlowManager(aSettings.mAgent, mHooks.mPacketFormat)
  , mGracefulStop(std::chrono::seconds(aSettings.mDrainSeconds))
  , mSocket(aSettings.mListen, mHooks.maxDatagramBytes())
  , mConnectionAttempt(kConnectionTimeout)
  , mWatchConnection(kConnectionTimeout, true)
  , mAgentMetrics(mMetrics, mFlowManager)
  , mConfigMetrics(mMetrics)
  , mRecentRefusals(kMaxRecentRefusals)
  , mFlowSampler(aSettings.mFlowSampleInterval)
  , mMembership(
      aSettings.mMembership,
      mLog,
      mMetrics,
      [this](flow::Endpoint aTo, flow::Bytes aBytes) {
        mSocket.enqueue(aTo, std::move(aBytes));
        mSocket.flush();
      },
      [this](config::ConfigurationPtr aConfiguration) {
        onConfiguration(std::move(aConfiguration));
      },
      mHooks)
  , mAdmin(
      aSettings.mAdmin,
      mMetrics,
      [this] { return status(); },
      [this] { return health(); },
      mHooks.mHealthPage)
{
  if (aSettings.mUpstreamListen) {
    mUpstreamSocket =
      std::make_unique<net::UdpSocket>(*aSettings.mUpstreamListen, mHooks.maxDatagramBytes());
  }
  telemetry::registerProcessMetrics(mMetrics, "agent");
  net::registerSocketMetrics(mMetrics, mSocket);
}

// Passes changed settings of the upstream on, before the membership applies the others.
net::DeploymentHooks Runtime::applyingReloads(net::DeploymentHooks aHooks)
{
  if (aHooks.mReloadSettings) {
    aHooks.mReloadSettings = [this, reload = aHooks.mReloadSettings] {
      net::SettingsReloadResult result = reload();
      if (const auto* update = std::get_if<net::SettingsUpdate>(&result)) {
        applyUpstreamSettings(*update);
      }
      return result;
    };
  }
  return aHooks;
}

void Runtime::applyUpstreamSettings(const net::SettingsUpdate& aUpdate)
{
  const base::Time now = net::MainLoop::now();
  if (mFlowManager.isBeside(aUpdate.mService, aUpdate.mUpstream)) {
    return;
  }
  ++mUpstreamChanges;
  mWatchConnection.cancel();
  perform(mFlowManager.setUpstream(now, aUpdate.mService, aUpdate.mUpstream));
  mSocket.flush();
}

void Runtime::onConfiguration(config::ConfigurationPtr aConfiguration)
{
  const base::Time now = net::MainLoop::now();
  mConfigMetrics.update(*aConfiguration);
  checkUpstreamIfOverdue(now);
  perform(mFlowManager.apply(now, std::move(aConfiguration)));
}

void Runtime::run()
{
  mSocket.onDatagram([this](std::span<const std::byte> aDatagram, flow::Endpoint aFrom) {
    onDatagram(aDatagram, aFrom);
  });
  mSocket.setAlternatePort(
    { mSettings.mListen.mAddress, mSettings.mAlternatePort },
    [this](flow::Endpoint aTo) { return mFlowManager.failureDetector().usesAlternatePort(aTo); });
  if (mUpstreamSocket) {
    mUpstreamSocket->onDatagram([this](std::span<const std::byte> aDatagram, flow::Endpoint aFrom) {
      onUpstreamDatagram(aDatagram, aFrom);
    });
    mUpstreamSocket->onBatchEnd([this] { mSocket.flush(); });
  }
  mLoop.onTerminate([this] { onTerminate(); });
  mLoop.every(kFlowTimerInterval, [this] {
    perform(mFlowManager.onFlowTimer(net::MainLoop::now()));
    mSocket.flush();
  });
  mLoop.every(kReportInterval, [this] {
    perform(mFlowManager.onReportTimer(net::MainLoop::now()));
    mSocket.flush();
  });
  mLoop.every(kProbeTimerInterval, [this] { onProbeTimer(); });
  mLog.write({ telemetry::EventKind::kProcessStarted,
               { { "listen", mSettings.mListen.toString() },
                 { "advertise", mSettings.mAgent.mSelf.toString() },
                 { "service", mSettings.mAgent.mService },
                 { "upstream", toString(mSettings.mAgent.mUpstreamAddress) } } });
  perform(mFlowManager.tryUpstream(net::MainLoop::now()));
  mMembership.start(mLoop);
  mLoop.run();
  mLog.write({ telemetry::EventKind::kProcessStopped, {} });
}

void Runtime::onQueueTimer()
{
  if (mMembership.mayForward()) {
    checkUpstreamIfOverdue(net::MainLoop::now());
    perform(mFlowManager.onQueueTimer(net::MainLoop::now()));
    mSocket.flush();
  }
}

void Runtime::onTerminate()
{
  // A second signal ends the process at once.
  if (mGracefulStop.request(net::MainLoop::now())) {
    mLoop.quit();
    return;
  }
  mFlowManager.stopAcceptingFlows();
  mLog.write({ telemetry::EventKind::kProcessStopping,
               { { "busy", std::to_string(mFlowManager.admission().activeRequests()) },
                 { "flows", std::to_string(mFlowManager.flows().size()) } } });
}

void Runtime::checkUpstream(base::Time aNow)
{
  mLastUpstreamCheck = aNow;
  const auto age = mMembership.serviceAge(aNow);
  const auto respondedAt = age ? std::optional(aNow - *age) : std::nullopt;
  net::UdpSocket& upstreamSocket = mUpstreamSocket ? *mUpstreamSocket : mSocket;
  perform(mFlowManager.onUpstreamChecked(aNow,
                                         { mWatchConnection.isConnected(),
                                           mMembership.isConfirmed(),
                                           respondedAt,
                                           upstreamSocket.drainedAt() }));
}

// After a pause of the process, the check goes before all other uses of what it decides.
void Runtime::checkUpstreamIfOverdue(base::Time aNow)
{
  if (aNow - mLastUpstreamCheck > 2 * kProbeTimerInterval) {
    checkUpstream(aNow);
  }
}

void Runtime::onProbeTimer()
{
  checkUpstream(net::MainLoop::now());
  perform(mFlowManager.onProbeTimer(net::MainLoop::now()));
  mSocket.flush();
  if (mGracefulStop.isDue(net::MainLoop::now(), mFlowManager.admission().activeRequests() > 0)) {
    mLoop.quit();
  }
}

net::Health Runtime::health()
{
  if (mGracefulStop.isRequested()) {
    return net::Health::kStopping;
  }
  return mMembership.mayForward() ? net::Health::kReady : net::Health::kStarting;
}

void Runtime::onDatagram(std::span<const std::byte> aDatagram, flow::Endpoint aFrom)
{
  if (wire::isFrame(aDatagram)) {
    onFrame(aDatagram, aFrom);
    return;
  }
  const auto& upstream = mFlowManager.upstream();
  if (mUpstreamSocket || !upstream || aFrom != upstream->mAddress) {
    mAgentMetrics.recordDrop("unknown_sender");
    return;
  }
  if (!mMembership.mayForward()) {
    mAgentMetrics.recordDrop("unconfirmed");
    return;
  }
  perform(mFlowManager.onUpstreamPacket(net::MainLoop::now(),
                                        flow::Bytes(aDatagram.begin(), aDatagram.end())));
}

// The sender needs no check: only the upstream beside this agent can reach the socket's address.
void Runtime::onUpstreamDatagram(std::span<const std::byte> aDatagram, flow::Endpoint)
{
  flow::Bytes bytes(aDatagram.begin(), aDatagram.end());
  const bool isKnown = mMembership.mayForward() && mFlowManager.upstream();
  perform(isKnown ? mFlowManager.onUpstreamPacket(net::MainLoop::now(), std::move(bytes))
                  : mFlowManager.onUpstreamPacketWhileStarting(std::move(bytes)));
}

void Runtime::onFrame(std::span<const std::byte> aDatagram, flow::Endpoint aFrom)
{
  auto decoded = wire::decode(aDatagram);
  if (const auto* error = std::get_if<wire::DecodeError>(&decoded)) {
    mAgentMetrics.recordDrop(wire::toString(*error));
    return;
  }
  auto& frame = std::get<wire::Frame>(decoded);
  mMembership.onFrame(aFrom, frame, aDatagram.size());
  if (std::holds_alternative<wire::ProbeReply>(frame.mMessage)) {
    mFlowManager.failureDetector().recordReply(net::MainLoop::now(), aFrom);
  }
  if (const auto* probe = std::get_if<wire::Probe>(&frame.mMessage)) {
    mFlowManager.failureDetector().recordProbe(net::MainLoop::now(), aFrom, probe->mAttempt);
    SendMessage reply{ aFrom, wire::ProbeReply{ probe->mNonce } };
    perform(reply);
  }
  if (auto* forward = std::get_if<wire::Forward>(&frame.mMessage)) {
    onForward(frame.mRevision, std::move(*forward));
  } else if (const auto* lookup = std::get_if<wire::OwnerLookup>(&frame.mMessage)) {
    perform(mFlowManager.onOwnerLookup(net::MainLoop::now(), aFrom, *lookup));
  } else if (const auto* lookupReply = std::get_if<wire::OwnerLookupReply>(&frame.mMessage)) {
    perform(
      mFlowManager.onOwnerLookupReply(net::MainLoop::now(), aFrom, frame.mRevision, *lookupReply));
  } else if (const auto* report = std::get_if<wire::LoadReport>(&frame.mMessage)) {
    mFlowManager.onLoadReport(net::MainLoop::now(), *report);
  }
}

void Runtime::scheduleQueue()
{
  if (mIsQueueScheduled || mFlowManager.admissionQueue().empty()) {
    return;
  }
  mIsQueueScheduled = true;
  mLoop.after(kQueueTimerInterval, [this] {
    mIsQueueScheduled = false;
    onQueueTimer();
    scheduleQueue();
  });
}

void Runtime::scheduleLookups()
{
  if (mAreLookupsScheduled || mFlowManager.ownerLookupCount() == 0) {
    return;
  }
  mAreLookupsScheduled = true;
  mLoop.after(kLookupTimerInterval, [this] {
    mAreLookupsScheduled = false;
    perform(mFlowManager.onLookupTimer(net::MainLoop::now()));
    mSocket.flush();
    scheduleLookups();
  });
}

void Runtime::onForward(std::uint64_t aRevision, wire::Forward aForward)
{
  const base::Time now = net::MainLoop::now();
  if (mMembership.mayForward()) {
    mHasForwarded = true;
    checkUpstreamIfOverdue(now);
    perform(mFlowManager.onForward(now, aRevision, std::move(aForward)));
    scheduleQueue();
    scheduleLookups();
  } else if (!mHasForwarded) {
    perform(mFlowManager.onForwardWhileStarting(now, std::move(aForward)));
  } else {
    // After a pause of the process, packets in the socket may be older than the active
    // configuration.
    mAgentMetrics.recordDrop("unconfirmed");
  }
}

void Runtime::perform(Actions aActions)
{
  for (Action& action : aActions) {
    std::visit([this](auto& aAction) { perform(aAction); }, action);
  }
}

void Runtime::perform(DeliverToUpstream& aAction)
{
  mSocket.enqueue(aAction.mTo, std::move(aAction.mPacket));
}

void Runtime::perform(SendToCaller& aAction)
{
  flow::Endpoint to = mSettings.mFabric;
  if (mHooks.mCallerNextHop) {
    const auto packet = mHooks.mPacketFormat.mParse(aAction.mPacket);
    to = mHooks.mCallerNextHop(packet->mDestination);
  }
  mSocket.enqueue(to, std::move(aAction.mPacket));
}

void Runtime::perform(SendMessage& aAction)
{
  if (std::holds_alternative<wire::Forward>(aAction.mMessage)) {
    mSocket.enqueue(aAction.mTo,
                    wire::encode({ mFlowManager.revision(), std::move(aAction.mMessage) }));
    return;
  }
  mMembership.send(aAction.mTo, aAction.mMessage);
}

void Runtime::perform(const DropPacket& aAction)
{
  mAgentMetrics.recordDrop(toString(aAction.mReason));
}

void Runtime::perform(const telemetry::Event& aEvent)
{
  mAgentMetrics.recordEvent(aEvent);
  if (aEvent.mKind == telemetry::EventKind::kFlowRefused) {
    mRecentRefusals.add(telemetry::wallClockMicroseconds(), aEvent);
  }
  if (mFlowSampler.isSampled(aEvent)) {
    mLog.write(aEvent);
  }
}

void Runtime::perform(const ConnectToUpstream& aAction)
{
  mConnectionAttempt.start(aAction.mTo, [this, to = aAction.mTo](flow::ConnectionOutcome aOutcome) {
    perform(mFlowManager.onConnectionAttempt(net::MainLoop::now(), to, aOutcome));
  });
}

void Runtime::perform(const WatchUpstream& aAction)
{
  mWatchConnection.start(aAction.mTo,
                         [this](flow::ConnectionOutcome aOutcome) { onWatchAttempt(aOutcome); });
}

// The settings may have named another upstream before the process that accepted the connection
// started.
void Runtime::onWatchAttempt(flow::ConnectionOutcome aOutcome)
{
  const base::Time now = net::MainLoop::now();
  const std::uint64_t changes = mUpstreamChanges;
  checkUpstreamIfOverdue(now);
  if (aOutcome == flow::ConnectionOutcome::kAccepted) {
    mMembership.reloadSettings();
  }
  if (changes == mUpstreamChanges) {
    perform(mFlowManager.onWatchAttempt(now, aOutcome));
  }
}

void Runtime::perform(const ReadUpstreamRecord& aAction)
{
  const auto onRecord = [this](const std::optional<config::UpstreamRecord>& aRecord) {
    mAgentMetrics.recordRecordRead(aRecord.has_value());
    perform(mFlowManager.onUpstreamRecord(net::MainLoop::now(), aRecord));
  };
  if (mHooks.mReadUpstreamRecord) {
    mHooks.mReadUpstreamRecord(aAction.mUpstream, onRecord);
  } else {
    onRecord(std::nullopt);
  }
}

nlohmann::json Runtime::status() const
{
  nlohmann::json status = makeStatus(mSettings.mName, mFlowManager, mRecentRefusals);
  status["membership"] = mMembership.status();
  return status;
}

} // namespace cornelcross::agent
