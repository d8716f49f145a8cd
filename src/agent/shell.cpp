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

bool isFlowEvent(const telemetry::Event& aEvent)
{
  using telemetry::EventKind;
  return aEvent.mKind == EventKind::kFlowOpened || aEvent.mKind == EventKind::kFlowClosed ||
         aEvent.mKind == EventKind::kFlowAdopted;
}

} // namespace

Shell::Shell(const ShellSettings& aSettings)
  : mSettings(aSettings)
  , mLog(aSettings.mName)
  , mDecisions(aSettings.mAgent)
  , mSocket(aSettings.mListen)
  , mAgentMetrics(mMetrics, mDecisions)
  , mConfigMetrics(mMetrics)
  , mRefusals(kRefusalsKept)
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
      })
  , mAdmin(
      aSettings.mAdmin,
      mMetrics,
      [this] { return status(); },
      [this] { return mMembership.mayForward() ? net::Health::kReady : net::Health::kStarting; })
{
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
  mLoop.onTerminate([this] {
    mLog.write({ telemetry::EventKind::kProcessStopping, {} });
    mLoop.quit();
  });
  mLoop.every(kTick, [this] {
    perform(mDecisions.onTick(net::MainLoop::now()));
    mSocket.flush();
  });
  mLoop.every(kHoldTick, [this] {
    if (mMembership.mayForward()) {
      perform(mDecisions.onHoldTimer(net::MainLoop::now()));
      mSocket.flush();
    }
  });
  mLoop.every(kReportInterval, [this] {
    perform(mDecisions.onReportTimer(net::MainLoop::now()));
    mSocket.flush();
  });
  mLoop.every(kProbeTick, [this] {
    perform(mDecisions.onPeerTick(net::MainLoop::now()));
    mSocket.flush();
  });
  mLog.write(
    { telemetry::EventKind::kProcessStarted, { { "listen", mSettings.mListen.toString() } } });
  mMembership.start(mLoop);
  mLoop.run();
  mLog.write({ telemetry::EventKind::kProcessStopped, {} });
}

void Shell::onDatagram(std::span<const std::byte> aDatagram, flow::Endpoint aFrom)
{
  if (wire::isFrame(aDatagram)) {
    onFrame(aDatagram, aFrom);
    return;
  }
  const auto& upstream = mDecisions.upstream();
  if (!upstream || aFrom != upstream->mAddress) {
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

void Shell::onFrame(std::span<const std::byte> aDatagram, flow::Endpoint aFrom)
{
  auto decoded = wire::decode(aDatagram);
  if (const auto* error = std::get_if<wire::DecodeError>(&decoded)) {
    mAgentMetrics.noteDrop(wire::toString(*error));
    return;
  }
  auto& frame = std::get<wire::Frame>(decoded);
  mMembership.onFrame(aFrom, frame, aDatagram.size());
  mDecisions.peers().noteAlive(net::MainLoop::now(), aFrom);
  if (const auto* probe = std::get_if<wire::Probe>(&frame.mMessage)) {
    SendMessage reply{ aFrom, wire::ProbeReply{ probe->mNonce } };
    perform(reply);
  }
  if (auto* forward = std::get_if<wire::Forward>(&frame.mMessage)) {
    if (!mMembership.mayForward()) {
      mAgentMetrics.noteDrop("unconfirmed");
      return;
    }
    perform(mDecisions.onForward(net::MainLoop::now(), frame.mRevision, std::move(*forward)));
  } else if (const auto* report = std::get_if<wire::LoadReport>(&frame.mMessage)) {
    mDecisions.onLoadReport(net::MainLoop::now(), *report);
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
  mSocket.queue(mSettings.mFabric, std::move(aAction.mPacket));
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
  if (mSettings.mLogFlows || !isFlowEvent(aEvent)) {
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
