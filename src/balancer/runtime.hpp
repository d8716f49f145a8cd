#pragma once

#include "balancer/balancer_metrics.hpp"
#include "balancer/packet_path.hpp"
#include "balancer/packet_router.hpp"
#include "membership/runtime.hpp"
#include "net/admin_server.hpp"
#include "net/deployment_hooks.hpp"
#include "net/main_loop.hpp"
#include "net/udp_socket.hpp"
#include "telemetry/config_metrics.hpp"
#include "telemetry/flow_sampler.hpp"
#include "wire/codec.hpp"

namespace cornelcross::balancer {

/// @brief Settings of a balancer process.
struct BalancerSettings
{
  flow::Endpoint mListen;                  ///< IP in UDP from the fabric and messages from agents
  std::uint16_t mAlternatePort = 0;        ///< second source port for agents; 0 for any port
  flow::Endpoint mAdvertise;               ///< endpoint at which agents reach this process
  flow::Endpoint mAdmin;                   ///< HTTP endpoint for metrics, status and health
  membership::RuntimeSettings mMembership; ///< configuration service, peers and control budget
  std::size_t mOwnerCacheCapacity = 0;     ///< maximum number of flows of each generation
  std::string mName;                       ///< name in logs
  std::uint32_t mFlowSampleInterval = 0;   ///< one in this many new flows is logged; 0 for none
  std::uint32_t mDrainSeconds = 0;         ///< duration of forwarding after SIGTERM
  std::string mPreferredZone;              ///< zone whose agents new flows visit first
  HedgeSettings mHedging;                  ///< limits on hedged connection attempts

  auto operator<=>(const BalancerSettings&) const = default;
};

/// @brief Connects the sockets, timers, log and metrics of a balancer process to its PacketRouter.
class Runtime
{
public:
  explicit Runtime(const BalancerSettings& aSettings, net::DeploymentHooks aHooks = {});

  /// @brief Runs until the drain time after SIGTERM has passed, or until a second SIGTERM.
  void run();

private:
  void onDatagram(std::span<const std::byte> aDatagram, flow::Endpoint aFrom);
  void onFrame(std::span<const std::byte> aDatagram, flow::Endpoint aFrom);
  void refuse(const RefuseFlow& aRefusal);
  void logNewFlow(const SendForward& aSend, std::span<const std::byte> aPacket);
  void probePeers();
  void sendHedgedAttempts();
  void onConfiguration(config::ConfigurationPtr aConfiguration);
  nlohmann::json status() const;
  net::Health health();
  void onTerminate();

  BalancerSettings mSettings;
  net::DeploymentHooks mHooks;
  net::MainLoop mLoop;
  telemetry::EventLog mLog;
  telemetry::Metrics mMetrics;
  PacketRouter mRouter;
  net::UdpSocket mSocket;
  membership::Runtime mMembership;
  net::AdminServer mAdmin;
  PacketPath mPath;
  BalancerMetrics mBalancerMetrics;
  telemetry::ConfigMetrics mConfigMetrics;
  telemetry::FlowSampler mFlowSampler;
  bool mIsStopping = false;
  std::uint64_t mLastProbeNonce = 0;
  std::uint64_t mLoggedSuppressions = 0; ///< hedged attempts that were not sent
  base::Time mLastSuppressionLog;
};

} // namespace cornelcross::balancer
