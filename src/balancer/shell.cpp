#include "balancer/shell.hpp"

#include <prometheus/counter.h>

namespace cornelcross::balancer {

namespace {

constexpr base::Duration kProbeTick = std::chrono::milliseconds(100);

} // namespace

Shell::Shell(const BalancerSettings& aSettings)
  : mSettings(aSettings)
  , mLog(aSettings.mName)
  , mDecisions(aSettings.mAdvertise, aSettings.mCacheCapacity)
  , mSocket(aSettings.mListen)
  , mMembership(
      aSettings.mMembership,
      mLog,
      mMetrics,
      [this](flow::Endpoint aTo, flow::Bytes aBytes) {
        mSocket.queue(aTo, std::move(aBytes));
        mSocket.flush();
      },
      [this](config::ConfigurationPtr aConfiguration) {
        mDecisions.apply(std::move(aConfiguration));
      })
  , mAdmin(
      aSettings.mAdmin,
      mMetrics,
      [this] { return status(); },
      [this] { return health(); })
  , mPath(mDecisions, mSocket, [this](DropReason aReason) { countDrop(toString(aReason)); })
  , mPackets(mMetrics.counter("cornelcross_packets_received_total", "IP packets from the fabric"))
  , mProbes(mMetrics.counter("cornelcross_probes_total", "Probes sent to peers"))
{
}

void Shell::run()
{
  mSocket.onDatagram([this](std::span<const std::byte> aDatagram, flow::Endpoint aFrom) {
    onDatagram(aDatagram, aFrom);
  });
  mLoop.every(kProbeTick, [this] { probePeers(); });
  mLoop.onTerminate([this] { onTerminate(); });
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
  } else if (!mMembership.mayForward()) {
    countDrop("unconfirmed");
  } else {
    mPath.handle(net::MainLoop::now(), aDatagram);
    mPackets.Increment();
  }
}

void Shell::onFrame(std::span<const std::byte> aDatagram, flow::Endpoint aFrom)
{
  const auto decoded = wire::decode(aDatagram);
  if (const auto* error = std::get_if<wire::DecodeError>(&decoded)) {
    countDrop(wire::toString(*error));
    return;
  }
  const auto& frame = std::get<wire::Frame>(decoded);
  mMembership.onFrame(aFrom, frame, aDatagram.size());
  mDecisions.peers().noteAlive(net::MainLoop::now(), aFrom);
  if (const auto* notice = std::get_if<wire::OwnerNotice>(&frame.mMessage)) {
    mDecisions.learn(net::MainLoop::now(), *notice);
  }
  if (const auto* probe = std::get_if<wire::Probe>(&frame.mMessage)) {
    mMembership.send(aFrom, wire::ProbeReply{ probe->mNonce });
  }
}

void Shell::probePeers()
{
  for (const flow::Endpoint peer : mDecisions.peers().takeProbes(net::MainLoop::now())) {
    mProbes.Increment();
    mMembership.send(peer, wire::Probe{ ++mNonce });
  }
}

void Shell::countDrop(std::string_view aReason)
{
  mMetrics
    .counter("cornelcross_datagrams_dropped_total",
             "Datagrams dropped, by reason",
             { { "reason", std::string(aReason) } })
    .Increment();
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
  return { { "name", mSettings.mName },
           { "role", "balancer" },
           { "revision", mDecisions.revision() },
           { "suspected_agents", mDecisions.peers().suspects() },
           { "membership", mMembership.status() } };
}

} // namespace cornelcross::balancer
