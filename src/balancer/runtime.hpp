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
  flow::Endpoint mListen;                  ///< IP in UDP from the fabric, messages from agents
  std::uint16_t mAlternatePort = 0;        ///< second source port towards agents; 0 for any
  flow::Endpoint mAdvertise;               ///< where agents reach this balancer
  flow::Endpoint mAdmin;                   ///< HTTP for metrics, status and health
  membership::RuntimeSettings mMembership; ///< configuration service, peers and control budget
  std::size_t mOwnerCacheCapacity = 0;     ///< flows per generation of the owner cache
  std::string mName;                       ///< name in logs
  std::uint32_t mFlowSampleInterval = 0;   ///< one flow in so many is logged; 0 for none
  std::uint32_t mDrainSeconds = 0;         ///< how long a stopping balancer goes on forwarding
  std::string mPreferredZone;              ///< agents there are offered new flows first

  auto operator<=>(const BalancerSettings&) const = default;
};

/// @brief Carries bytes between the sockets and the decisions.
class Runtime
{
public:
  explicit Runtime(const BalancerSettings& aSettings, net::DeploymentHooks aHooks = {});

  /// @brief Runs until SIGTERM and for the drain time after it, or until a second SIGTERM.
  void run();

private:
  void onDatagram(std::span<const std::byte> aDatagram, flow::Endpoint aFrom);
  void onFrame(std::span<const std::byte> aDatagram, flow::Endpoint aFrom);
  void refuse(const RefuseFlow& aRefusal);
  void logOffer(const SendForward& aOffer, std::span<const std::byte> aPacket);
  void probePeers();
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
  std::uint64_t mNonce = 0;
};

} // namespace cornelcross::balancer
