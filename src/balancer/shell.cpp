#include "balancer/shell.hpp"

#include <prometheus/counter.h>

namespace cornelcross::balancer {

Shell::Shell(const BalancerSettings& aSettings)
  : mSettings(aSettings)
  , mLog(aSettings.mName)
  , mDecisions(aSettings.mAdvertise, aSettings.mCacheCapacity)
  , mSocket(aSettings.mListen)
  , mConfig(aSettings.mConfigService,
            mLog,
            [this](config::ConfigurationPtr aConfiguration) {
              mDecisions.apply(std::move(aConfiguration));
            })
  , mAdmin(
      aSettings.mAdmin,
      mMetrics,
      [this] { return status(); },
      [this] { return mDecisions.revision() > 0; })
  , mPath(mDecisions, mSocket, [this](DropReason aReason) { countDrop(toString(aReason)); })
  , mPackets(mMetrics.counter("cornelcross_packets_received_total", "IP packets from the fabric"))
{
}

void Shell::run()
{
  mSocket.onDatagram(
    [this](std::span<const std::byte> aDatagram, flow::Endpoint) { onDatagram(aDatagram); });
  mLoop.onTerminate([this] {
    mLog.write({ telemetry::EventKind::kProcessStopping, {} });
    mLoop.quit();
  });
  mLog.write(
    { telemetry::EventKind::kProcessStarted, { { "listen", mSettings.mListen.toString() } } });
  mConfig.start();
  mLoop.run();
  mLog.write({ telemetry::EventKind::kProcessStopped, {} });
}

void Shell::onDatagram(std::span<const std::byte> aDatagram)
{
  if (wire::isFrame(aDatagram)) {
    onFrame(aDatagram);
  } else {
    mPath.handle(net::MainLoop::now(), aDatagram);
    mPackets.Increment();
  }
}

void Shell::onFrame(std::span<const std::byte> aDatagram)
{
  const auto decoded = wire::decode(aDatagram);
  if (const auto* error = std::get_if<wire::DecodeError>(&decoded)) {
    countDrop(wire::toString(*error));
    return;
  }
  const auto& frame = std::get<wire::Frame>(decoded);
  if (const auto* notice = std::get_if<wire::OwnerNotice>(&frame.mMessage)) {
    mDecisions.learn(net::MainLoop::now(), *notice);
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

nlohmann::json Shell::status() const
{
  return { { "name", mSettings.mName },
           { "role", "balancer" },
           { "revision", mDecisions.revision() } };
}

} // namespace cornelcross::balancer
