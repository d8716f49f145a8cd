#include "agent/shell.hpp"

#include "agent/agent_status.hpp"
#include "net/socket_metrics.hpp"
#include "telemetry/process_metrics.hpp"

namespace cornelcross::agent {

namespace {

constexpr base::Duration kTick = std::chrono::seconds(1);
constexpr base::Duration kHoldTick = std::chrono::milliseconds(20);
constexpr base::Duration kReportInterval = std::chrono::milliseconds(250);
constexpr base::Duration kProbeTick = std::chrono::milliseconds(100);

constexpr std::size_t kRefusalsKept = 16;

} // namespace

Shell::Shell(const ShellSettings& aSettings, net::Surroundings aSurroundings)
  : mSettings(aSettings)
  , mSurroundings(std::move(aSurroundings))
  , mLog(aSettings.mName, aSettings.mLogLines)
  , mDecisions(aSettings.mAgent, mSurroundings.mFormat)
  , mStop(std::chrono::seconds(aSettings.mDrainSeconds))
  , mSocket(aSettings.mListen, mSurroundings.maxDatagram())
  , mAgentMetrics(mMetrics, mDecisions)
  , mConfigMetrics(mMetrics)
  , mRefusals(kRefusalsKept)
  , mFlowSample(aSettings.mFlowSample)
  , mMembership(
      aSettings.mMembership,
      mLog,
      mMetrics,
      [this](flow::Endpoint aTo, flow::Bytes aBytes) {
        mSocket.queue(aTo, std::move(aBytes));
        mSocket.flush();
      },
      [this](config::ConfigurationPtr aConfiguration) {
        onConfiguration(std::move(aConfiguration));
      },
      mSurroundings)
  , mAdmin(
      aSettings.mAdmin,
      mMetrics,
      [this] { return status(); },
      [this] { return health(); },
      mSurroundings.mHealthPage)
{
  if (aSettings.mUpstreamListen) {
    mUpstreamSocket =
      std::make_unique<net::UdpSocket>(*aSettings.mUpstreamListen, mSurroundings.maxDatagram());
  }
  telemetry::registerProcessMetrics(mMetrics, "agent");
  net::registerSocketMetrics(mMetrics, mSocket);
}

void Shell::onConfiguration(config::ConfigurationPtr aConfiguration)
{
  mConfigMetrics.update(*aConfiguration);
  perform(mDecisions.apply(net::MainLoop::now(), std::move(aConfiguration)));
}

void Shell::run()
{
  mSocket.onDatagram([this](std::span<const std::byte> aDatagram, flow::Endpoint aFrom) {
    onDatagram(aDatagram, aFrom);
  });
  mSocket.setSparePort(
    { mSettings.mListen.mAddress, mSettings.mSparePort },
    [this](flow::Endpoint aTo) { return mDecisions.peers().usesSparePort(aTo); });
  if (mUpstreamSocket) {
    mUpstreamSocket->onDatagram([this](std::span<const std::byte> aDatagram, flow::Endpoint aFrom) {
      onUpstreamDatagram(aDatagram, aFrom);
    });
    mUpstreamSocket->onBatchEnd([this] { mSocket.flush(); });
  }
  mLoop.onTerminate([this] { onTerminate(); });
  mLoop.every(kTick, [this] {
    perform(mDecisions.onTick(net::MainLoop::now()));
    mSocket.flush();
  });
  const auto& admission = mSettings.mAgent.mAdmission;
  if (admission.mHoldsRequests || admission.mHold > base::Duration::zero()) {
    mLoop.every(kHoldTick, [this] { onHoldTimer(); });
  }
  mLoop.every(kReportInterval, [this] {
    perform(mDecisions.onReportTimer(net::MainLoop::now()));
    mSocket.flush();
  });
  mLoop.every(kProbeTick, [this] { onPeerTick(); });
  mLog.write({ telemetry::EventKind::kProcessStarted,
               { { "listen", mSettings.mListen.toString() },
                 { "advertise", mSettings.mAgent.mSelf.toString() } } });
  mMembership.start(mLoop);
  mLoop.run();
  mLog.write({ telemetry::EventKind::kProcessStopped, {} });
}

void Shell::onHoldTimer()
{
  if (mMembership.mayForward()) {
    perform(mDecisions.onHoldTimer(net::MainLoop::now()));
    mSocket.flush();
  }
}

void Shell::onTerminate()
{
  // A second signal ends the process at once.
  if (mStop.request(net::MainLoop::now())) {
    mLoop.quit();
    return;
  }
  mDecisions.stopAdmitting();
  mLog.write({ telemetry::EventKind::kProcessStopping,
               { { "busy", std::to_string(mDecisions.admission().busy()) },
                 { "flows", std::to_string(mDecisions.flows().size()) } } });
}

void Shell::onPeerTick()
{
  perform(mDecisions.onPeerTick(net::MainLoop::now()));
  mSocket.flush();
  if (mStop.isDue(net::MainLoop::now(), mDecisions.admission().busy() > 0)) {
    mLoop.quit();
  }
}

net::Health Shell::health()
{
  if (mStop.isRequested()) {
    return net::Health::kStopping;
  }
  return mMembership.mayForward() ? net::Health::kReady : net::Health::kStarting;
}

void Shell::onDatagram(std::span<const std::byte> aDatagram, flow::Endpoint aFrom)
{
  if (wire::isFrame(aDatagram)) {
    onFrame(aDatagram, aFrom);
    return;
  }
  const auto& upstream = mDecisions.upstream();
  if (mUpstreamSocket || !upstream || aFrom != upstream->mAddress) {
    mAgentMetrics.noteDrop("unknown_sender");
    return;
  }
  if (!mMembership.mayForward()) {
    mAgentMetrics.noteDrop("unconfirmed");
    return;
  }
  perform(mDecisions.onUpstreamPacket(net::MainLoop::now(),
                                      flow::Bytes(aDatagram.begin(), aDatagram.end())));
}

// Only the upstream beside this agent reaches the socket's address.
void Shell::onUpstreamDatagram(std::span<const std::byte> aDatagram, flow::Endpoint)
{
  flow::Bytes bytes(aDatagram.begin(), aDatagram.end());
  const bool isKnown = mMembership.mayForward() && mDecisions.upstream();
  perform(isKnown ? mDecisions.onUpstreamPacket(net::MainLoop::now(), std::move(bytes))
                  : mDecisions.relayWhileStarting(std::move(bytes)));
}

void Shell::onFrame(std::span<const std::byte> aDatagram, flow::Endpoint aFrom)
{
  auto decoded = wire::decode(aDatagram);
  if (const auto* error = std::get_if<wire::DecodeError>(&decoded)) {
    mAgentMetrics.noteDrop(wire::toString(*error));
    return;
  }
  auto& frame = std::get<wire::Frame>(decoded);
  mMembership.onFrame(aFrom, frame, aDatagram.size());
  if (std::holds_alternative<wire::ProbeReply>(frame.mMessage)) {
    mDecisions.peers().noteAlive(net::MainLoop::now(), aFrom);
  }
  if (const auto* probe = std::get_if<wire::Probe>(&frame.mMessage)) {
    mDecisions.peers().noteProbed(net::MainLoop::now(), aFrom, probe->mAttempt);
    SendMessage reply{ aFrom, wire::ProbeReply{ probe->mNonce } };
    perform(reply);
  }
  if (auto* forward = std::get_if<wire::Forward>(&frame.mMessage)) {
    onForward(frame.mRevision, std::move(*forward));
  } else if (const auto* report = std::get_if<wire::LoadReport>(&frame.mMessage)) {
    mDecisions.onLoadReport(net::MainLoop::now(), *report);
  }
}

void Shell::onForward(std::uint64_t aRevision, wire::Forward aForward)
{
  const base::Time now = net::MainLoop::now();
  if (mMembership.mayForward()) {
    mHasForwarded = true;
    perform(mDecisions.onForward(now, aRevision, std::move(aForward)));
  } else if (!mHasForwarded) {
    perform(mDecisions.passWhileStarting(now, std::move(aForward)));
  } else {
    // What a paused process finds in its socket may be older than the configuration in force.
    mAgentMetrics.noteDrop("unconfirmed");
  }
}

void Shell::perform(Actions aActions)
{
  for (Action& action : aActions) {
    std::visit([this](auto& aAction) { perform(aAction); }, action);
  }
}

void Shell::perform(DeliverToUpstream& aAction)
{
  mSocket.queue(aAction.mTo, std::move(aAction.mPacket));
}

void Shell::perform(SendToCaller& aAction)
{
  flow::Endpoint to = mSettings.mFabric;
  if (mSurroundings.mCallerPath) {
    const auto packet = mSurroundings.mFormat.mParse(aAction.mPacket);
    to = mSurroundings.mCallerPath(packet->mDestination);
  }
  mSocket.queue(to, std::move(aAction.mPacket));
}

void Shell::perform(SendMessage& aAction)
{
  if (std::holds_alternative<wire::Forward>(aAction.mMessage)) {
    mSocket.queue(aAction.mTo,
                  wire::encode({ mDecisions.revision(), std::move(aAction.mMessage) }));
    return;
  }
  mMembership.send(aAction.mTo, aAction.mMessage);
}

void Shell::perform(const DropPacket& aAction)
{
  mAgentMetrics.noteDrop(toString(aAction.mReason));
}

void Shell::perform(const telemetry::Event& aEvent)
{
  mAgentMetrics.note(aEvent);
  if (aEvent.mKind == telemetry::EventKind::kFlowRefused) {
    mRefusals.add(telemetry::wallClockMicroseconds(), aEvent);
  }
  if (mFlowSample.includes(aEvent)) {
    mLog.write(aEvent);
  }
}

nlohmann::json Shell::status() const
{
  nlohmann::json status = makeStatus(mSettings.mName, mDecisions, mRefusals);
  status["membership"] = mMembership.status();
  return status;
}

} // namespace cornelcross::agent
