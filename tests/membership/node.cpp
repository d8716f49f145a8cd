#include "membership/node.hpp"

#include "wire/codec.hpp"

namespace cornelcross::test {

namespace {

constexpr base::Duration kPollInterval = std::chrono::milliseconds(10);

/// The main loop of all nodes. The loop exists until the process exits, because timers of nodes
/// refer to the loop.
net::MainLoop& loop()
{
  static net::MainLoop instance;
  return instance;
}

membership::RuntimeSettings toRuntimeSettings(const NodeSettings& aSettings)
{
  membership::RuntimeSettings settings;
  settings.mListen = aSettings.mListen;
  settings.mConfigService = aSettings.mConfigService;
  // Before any upstream started, so that the node pulls no retained state.
  settings.mStartedAtMs = 1;
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
  , mRuntime(
      toRuntimeSettings(aSettings),
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
      mRuntime.onFrame(aFrom, *frame, aDatagram.size());
    }
  });
  mRuntime.start(loop());
}

std::uint64_t Node::serviceRequests() const
{
  return mRuntime.status().at("service_calls").get<std::uint64_t>();
}

bool runUntil(base::Duration aTimeout, const std::function<bool()>& aCondition)
{
  const base::Time end = net::MainLoop::now() + aTimeout;
  bool isMet = aCondition();
  while (!isMet && net::MainLoop::now() < end) {
    bool isDue = false;
    loop().after(kPollInterval, [&isDue] { isDue = true; });
    while (!isDue) {
      g_main_context_iteration(nullptr, TRUE);
    }
    isMet = aCondition();
  }
  return isMet;
}

void runFor(base::Duration aTime)
{
  runUntil(aTime, [] { return false; });
}

} // namespace cornelcross::test
