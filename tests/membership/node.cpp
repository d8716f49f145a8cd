#include "membership/node.hpp"

#include "wire/codec.hpp"

namespace cornelcross::test {

namespace {

constexpr base::Duration kPollInterval = std::chrono::milliseconds(10);

/// Lives as long as the process: timers of nodes refer to it.
net::MainLoop& loop()
{
  static net::MainLoop instance;
  return instance;
}

membership::RuntimeSettings toShellSettings(const NodeSettings& aSettings)
{
  membership::RuntimeSettings settings;
  settings.mListen = aSettings.mListen;
  settings.mConfigService = aSettings.mConfigService;
  settings.mStartedAtMs = 1; // older than every upstream, so that no peer is asked for history
  settings.mSync.mSelf = aSettings.mListen;
  settings.mSync.mSeeds = aSettings.mSeeds;
  settings.mSync.mReadersPerZone = aSettings.mReadersPerZone;
  settings.mSync.mRandomSeed = aSettings.mListen.mAddress.mValue;
  return settings;
}

} // namespace

Node::Node(const NodeSettings& aSettings)
  : mLog(aSettings.mListen.toString())
  , mSocket(aSettings.mListen)
  , mShell(
      toShellSettings(aSettings),
      mLog,
      mMetrics,
      [this](flow::Endpoint aTo, flow::Bytes aBytes) {
        if (!mIsCutOff) {
          mSocket.enqueue(aTo, std::move(aBytes));
          mSocket.flush();
        }
      },
      [](const config::ConfigurationPtr&) {})
{
  mSocket.onDatagram([this](std::span<const std::byte> aDatagram, flow::Endpoint aFrom) {
    const auto decoded = wire::decode(aDatagram);
    const auto* frame = std::get_if<wire::Frame>(&decoded);
    if (frame != nullptr && !mIsCutOff) {
      mShell.onFrame(aFrom, *frame, aDatagram.size());
    }
  });
  mShell.start(loop());
}

std::uint64_t Node::serviceCalls() const
{
  return mShell.status().at("service_calls").get<std::uint64_t>();
}

bool runUntil(base::Duration aTimeout, const std::function<bool()>& aHolds)
{
  const base::Time end = net::MainLoop::now() + aTimeout;
  bool holds = aHolds();
  while (!holds && net::MainLoop::now() < end) {
    bool isDue = false;
    loop().after(kPollInterval, [&isDue] { isDue = true; });
    while (!isDue) {
      g_main_context_iteration(nullptr, TRUE);
    }
    holds = aHolds();
  }
  return holds;
}

void runFor(base::Duration aTime)
{
  runUntil(aTime, [] { return false; });
}

} // namespace cornelcross::test
