#include "balancer/shell.hpp"

#include "balancer/balancer_status.hpp"
#include "flow/run_verdict.hpp"
#include "net/socket_metrics.hpp"
#include "telemetry/process_metrics.hpp"

namespace cornelcross::balancer {

namespace {

constexpr base::Duration kProbeTick = std::chrono::milliseconds(100);

} // namespace

Shell::Shell(const BalancerSettings& aSettings, net::Surroundings aSurroundings)
  : mSettings(aSettings)
  , mSurroundings(std::move(aSurroundings))
  , mLog(aSettings.mName)
  , mDecisions(aSettings.mAdvertise,
               aSettings.mCacheCapacity,
               mSurroundings.mFormat,
               static_cast<bool>(mSurroundings.mCallerPath),
               aSettings.mPreferredZone)
  , mSocket(aSettings.mListen, mSurroundings.maxDatagram())
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
  , mPath(
      mDecisions,
      mSocket,
      [this](DropReason aReason) { mBalancerMetrics.noteDrop(toString(aReason)); },
      [this](const RefuseFlow& aRefusal) { refuse(aRefusal); })
  , mBalancerMetrics(mMetrics, mDecisions, mPath)
  , mConfigMetrics(mMetrics)
  , mFlowSample(aSettings.mFlowSample)
{
  if (aSettings.mFlowSample > 0) {
    mPath.onOffer([this](const SendForward& aOffer, std::span<const std::byte> aPacket) {
      logOffer(aOffer, aPacket);
    });
  }
  telemetry::registerProcessMetrics(mMetrics, "balancer");
  net::registerSocketMetrics(mMetrics, mSocket);
}

void Shell::onConfiguration(config::ConfigurationPtr aConfiguration)
{
  mConfigMetrics.update(*aConfiguration);
  mDecisions.apply(std::move(aConfiguration));
}

void Shell::run()
{
  mSocket.onDatagram([this](std::span<const std::byte> aDatagram, flow::Endpoint aFrom) {
    onDatagram(aDatagram, aFrom);
  });
  mSocket.setSparePort(
    { mSettings.mListen.mAddress, mSettings.mSparePort },
    [this](flow::Endpoint aTo) { return mDecisions.peers().usesSparePort(aTo); });
  mLoop.every(kProbeTick, [this] { probePeers(); });
  mLoop.onTerminate([this] { onTerminate(); });
  mLog.write({ telemetry::EventKind::kProcessStarted,
               { { "listen", mSettings.mListen.toString() },
                 { "advertise", mSettings.mAdvertise.toString() } } });
  mMembership.start(mLoop);
  mLoop.run();
  mLog.write({ telemetry::EventKind::kProcessStopped, {} });
}

void Shell::onDatagram(std::span<const std::byte> aDatagram, flow::Endpoint aFrom)
{
  if (wire::isFrame(aDatagram)) {
    onFrame(aDatagram, aFrom);
  } else if (!mMembership.mayForward()) {
    mBalancerMetrics.noteDrop("unconfirmed");
  } else {
    mPath.handle(net::MainLoop::now(), aDatagram);
  }
}

void Shell::onFrame(std::span<const std::byte> aDatagram, flow::Endpoint aFrom)
{
  const auto decoded = wire::decode(aDatagram);
  if (const auto* error = std::get_if<wire::DecodeError>(&decoded)) {
    mBalancerMetrics.noteDrop(wire::toString(*error));
    return;
  }
  const auto& frame = std::get<wire::Frame>(decoded);
  mMembership.onFrame(aFrom, frame, aDatagram.size());
  if (std::holds_alternative<wire::ProbeReply>(frame.mMessage)) {
    mDecisions.peers().noteAlive(net::MainLoop::now(), aFrom);
  }
  if (const auto* notice = std::get_if<wire::OwnerNotice>(&frame.mMessage)) {
    mDecisions.learn(net::MainLoop::now(), *notice);
  }
  if (const auto* probe = std::get_if<wire::Probe>(&frame.mMessage)) {
    mDecisions.peers().noteProbed(net::MainLoop::now(), aFrom, probe->mAttempt);
    mMembership.send(aFrom, wire::ProbeReply{ probe->mNonce });
  }
}

void Shell::logOffer(const SendForward& aOffer, std::span<const std::byte> aPacket)
{
  const std::string flow = mSurroundings.mFormat.mParse(aPacket)->keyFromCaller().toString();
  if (mFlowSample.includes(flow)) {
    mLog.write({ telemetry::EventKind::kFlowOffered,
                 { { "flow", flow },
                   { "agent", aOffer.mTo.toString() },
                   { "candidates", std::to_string(aOffer.mForward.mCandidates.size()) },
                   { "suspects", std::to_string(mDecisions.peers().suspects()) },
                   { "revision", std::to_string(mDecisions.revision()) } } });
  }
}

void Shell::refuse(const RefuseFlow& aRefusal)
{
  mLog.write({ telemetry::EventKind::kFlowRefused,
               { { "flow", aRefusal.mFlow.toString() },
                 { "verdict", std::string(toString(flow::RunVerdict::kNotRun)) },
                 { "reason", std::string(toString(aRefusal.mReason)) },
                 { "revision", std::to_string(mDecisions.revision()) } } });
  mSocket.queue(mSurroundings.mCallerPath(aRefusal.mFlow.mCaller), aRefusal.mReset);
}

void Shell::probePeers()
{
  for (const flow::Endpoint peer : mDecisions.peers().takeProbes(net::MainLoop::now())) {
    mMembership.send(peer, wire::Probe{ ++mNonce, mDecisions.peers().attempts(peer) });
  }
}

net::Health Shell::health()
{
  if (mIsStopping) {
    return net::Health::kStopping;
  }
  return mMembership.mayForward() ? net::Health::kReady : net::Health::kStarting;
}

// The fabric learns only by its health checks that this balancer stops, and sends it packets of
// established flows until then: a balancer that ended at once would lose them.
void Shell::onTerminate()
{
  if (mIsStopping) {
    mLoop.quit();
    return;
  }
  mIsStopping = true;
  mLog.write({ telemetry::EventKind::kProcessStopping,
               { { "drain_seconds", std::to_string(mSettings.mDrainSeconds) } } });
  mLoop.after(std::chrono::seconds(mSettings.mDrainSeconds), [this] { mLoop.quit(); });
}

nlohmann::json Shell::status() const
{
  nlohmann::json status = makeStatus(mSettings.mName, mDecisions, mIsStopping);
  status["membership"] = mMembership.status();
  return status;
}

} // namespace cornelcross::balancer
