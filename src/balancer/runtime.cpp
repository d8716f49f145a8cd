#include "balancer/runtime.hpp"

#include "balancer/balancer_status.hpp"
#include "flow/run_verdict.hpp"
#include "net/socket_metrics.hpp"
#include "telemetry/process_metrics.hpp"

namespace cornelcross::balancer {

namespace {

constexpr base::Duration kProbeInterval = std::chrono::milliseconds(100);

/// Half of the shortest delay of a hedged attempt.
constexpr base::Duration kHedgeInterval = std::chrono::milliseconds(10);

constexpr base::Duration kSuppressionLogInterval = std::chrono::seconds(1);

} // namespace

Runtime::Runtime(const BalancerSettings& aSettings, net::DeploymentHooks aHooks)
  : mSettings(aSettings)
  , mHooks(std::move(aHooks))
  , mLog(aSettings.mName)
  , mRouter(aSettings.mAdvertise,
            aSettings.mOwnerCacheCapacity,
            mHooks.mPacketFormat,
            static_cast<bool>(mHooks.mCallerNextHop),
            aSettings.mPreferredZone,
            aSettings.mHedging)
  , mSocket(aSettings.mListen, mHooks.maxDatagramBytes())
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
  , mPath(
      mRouter,
      mSocket,
      [this](DropReason aReason) { mBalancerMetrics.recordDrop(toString(aReason)); },
      [this](const RefuseFlow& aRefusal) { refuse(aRefusal); })
  , mBalancerMetrics(mMetrics, mRouter, mPath)
  , mConfigMetrics(mMetrics)
  , mFlowSampler(aSettings.mFlowSampleInterval)
{
  if (aSettings.mFlowSampleInterval > 0) {
    mPath.onNewFlow([this](const SendForward& aSend, std::span<const std::byte> aPacket) {
      logNewFlow(aSend, aPacket);
    });
  }
  telemetry::registerProcessMetrics(mMetrics, "balancer");
  net::registerSocketMetrics(mMetrics, mSocket);
}

void Runtime::onConfiguration(config::ConfigurationPtr aConfiguration)
{
  mConfigMetrics.update(*aConfiguration);
  mRouter.apply(std::move(aConfiguration));
}

void Runtime::run()
{
  mSocket.onDatagram([this](std::span<const std::byte> aDatagram, flow::Endpoint aFrom) {
    onDatagram(aDatagram, aFrom);
  });
  mSocket.setAlternatePort(
    { mSettings.mListen.mAddress, mSettings.mAlternatePort },
    [this](flow::Endpoint aTo) { return mRouter.failureDetector().usesAlternatePort(aTo); });
  mLoop.every(kProbeInterval, [this] { probePeers(); });
  if (mRouter.hedgePolicy().isEnabled()) {
    mLoop.every(kHedgeInterval, [this] { sendHedgedAttempts(); });
  }
  mLoop.onTerminate([this] { onTerminate(); });
  mLog.write({ telemetry::EventKind::kProcessStarted,
               { { "listen", mSettings.mListen.toString() },
                 { "advertise", mSettings.mAdvertise.toString() } } });
  mMembership.start(mLoop);
  mLoop.run();
  mLog.write({ telemetry::EventKind::kProcessStopped, {} });
}

void Runtime::onDatagram(std::span<const std::byte> aDatagram, flow::Endpoint aFrom)
{
  if (wire::isFrame(aDatagram)) {
    onFrame(aDatagram, aFrom);
  } else if (!mMembership.mayForward()) {
    mBalancerMetrics.recordDrop("unconfirmed");
  } else {
    mPath.handle(net::MainLoop::now(), aDatagram);
  }
}

void Runtime::onFrame(std::span<const std::byte> aDatagram, flow::Endpoint aFrom)
{
  const auto decoded = wire::decode(aDatagram);
  if (const auto* error = std::get_if<wire::DecodeError>(&decoded)) {
    mBalancerMetrics.recordDrop(wire::toString(*error));
    return;
  }
  const auto& frame = std::get<wire::Frame>(decoded);
  mMembership.onFrame(aFrom, frame, aDatagram.size());
  if (std::holds_alternative<wire::ProbeReply>(frame.mMessage)) {
    mRouter.failureDetector().recordReply(net::MainLoop::now(), aFrom);
  }
  if (const auto* update = std::get_if<wire::OwnerUpdate>(&frame.mMessage)) {
    mRouter.onOwnerUpdate(net::MainLoop::now(), *update);
  }
  if (const auto* probe = std::get_if<wire::Probe>(&frame.mMessage)) {
    mRouter.failureDetector().recordProbe(net::MainLoop::now(), aFrom, probe->mAttempt);
    mMembership.send(aFrom, wire::ProbeReply{ probe->mNonce });
  }
}

void Runtime::logNewFlow(const SendForward& aSend, std::span<const std::byte> aPacket)
{
  const std::string flow = mHooks.mPacketFormat.mParse(aPacket)->keyFromCaller().toString();
  if (mFlowSampler.isSampled(flow)) {
    mLog.write({ telemetry::EventKind::kFlowOffered,
                 { { "flow", flow },
                   { "agent", aSend.mTo.toString() },
                   { "candidates", std::to_string(aSend.mForward.mCandidates.size()) },
                   { "suspects", std::to_string(mRouter.failureDetector().suspectCount()) },
                   { "revision", std::to_string(mRouter.revision()) } } });
  }
}

void Runtime::refuse(const RefuseFlow& aRefusal)
{
  mLog.write({ telemetry::EventKind::kFlowRefused,
               { { "flow", aRefusal.mFlow.toString() },
                 { "verdict", std::string(toString(flow::RunVerdict::kNotRun)) },
                 { "reason", std::string(toString(aRefusal.mReason)) },
                 { "revision", std::to_string(mRouter.revision()) } } });
  mSocket.enqueue(mHooks.mCallerNextHop(aRefusal.mFlow.mCaller), aRefusal.mReset);
}

void Runtime::probePeers()
{
  for (const flow::Endpoint peer :
       mRouter.failureDetector().selectProbeTargets(net::MainLoop::now())) {
    mMembership.send(
      peer, wire::Probe{ ++mLastProbeNonce, mRouter.failureDetector().unansweredProbes(peer) });
  }
}

void Runtime::sendHedgedAttempts()
{
  const base::Time now = net::MainLoop::now();
  if (!mMembership.mayForward()) {
    return;
  }
  for (const SendForward& hedge : mRouter.hedgedAttempts(now)) {
    mSocket.enqueue(hedge.mTo, wire::encode({ mRouter.revision(), hedge.mForward }));
  }
  mSocket.flush();
  const HedgePolicy& policy = mRouter.hedgePolicy();
  const std::uint64_t suppressed =
    policy.count(HedgeDecision::kNoBudget) + policy.count(HedgeDecision::kOverload);
  if (suppressed == mLoggedSuppressions || now - mLastSuppressionLog < kSuppressionLogInterval) {
    return;
  }
  mLoggedSuppressions = suppressed;
  mLastSuppressionLog = now;
  mLog.write({ telemetry::EventKind::kHedgingSuppressed,
               { { "sent", std::to_string(policy.count(HedgeDecision::kSend)) },
                 { "no_budget", std::to_string(policy.count(HedgeDecision::kNoBudget)) },
                 { "overload", std::to_string(policy.count(HedgeDecision::kOverload)) } } });
}

net::Health Runtime::health()
{
  if (mIsStopping) {
    return net::Health::kStopping;
  }
  return mMembership.mayForward() ? net::Health::kReady : net::Health::kStarting;
}

// The fabric detects only by its health checks that this balancer is stopping, and sends packets of
// established flows until then. A balancer that exits at once would lose these packets.
void Runtime::onTerminate()
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

nlohmann::json Runtime::status() const
{
  nlohmann::json status = makeStatus(mSettings.mName, mRouter, mIsStopping);
  status["membership"] = mMembership.status();
  return status;
}

} // namespace cornelcross::balancer
