#pragma once

#include "agent/agent_metrics.hpp"
#include "agent/flow_manager.hpp"
#include "base/graceful_stop.hpp"
#include "membership/runtime.hpp"
#include "net/admin_server.hpp"
#include "net/deployment_hooks.hpp"
#include "net/main_loop.hpp"
#include "net/udp_socket.hpp"
#include "telemetry/config_metrics.hpp"
#include "telemetry/flow_sampler.hpp"
#include "telemetry/recent_events.hpp"
#include "wire/codec.hpp"

namespace cornelcross::agent {

/// @brief Settings of an agent process.
struct RuntimeSettings
{
  AgentSettings mAgent;   ///< settings of the decisions
  flow::Endpoint mListen; ///< datagrams from balancers, agents and the upstream
  std::optional<flow::Endpoint> mUpstreamListen; ///< datagrams from the upstream alone
  std::uint16_t mAlternatePort = 0; ///< second source port towards other agents; 0 for any
  flow::Endpoint mAdmin;            ///< HTTP for metrics, status and health
  flow::Endpoint mFabric;           ///< where IP packets for callers are sent
  std::string mName;                ///< name in logs
  membership::RuntimeSettings mMembership;
  std::uint32_t mDrainSeconds = 0; ///< how long a stopping agent waits for requests in progress
  std::uint32_t mFlowSampleInterval = 0; ///< one flow in so many is logged; 0 for none
  std::uint32_t mMaxFlowLogLinesPerSecond =
    telemetry::EventLog::kLinesPerSecond; ///< of single flows

  auto operator<=>(const RuntimeSettings&) const = default;
};

/// @brief Carries bytes between the sockets and the decisions.
class Runtime
{
public:
  explicit Runtime(const RuntimeSettings& aSettings, net::DeploymentHooks aHooks = {});

  /// @brief Runs until SIGTERM.
  void run();

private:
  void onDatagram(std::span<const std::byte> aDatagram, flow::Endpoint aFrom);
  void onUpstreamDatagram(std::span<const std::byte> aDatagram, flow::Endpoint aFrom);
  void onFrame(std::span<const std::byte> aDatagram, flow::Endpoint aFrom);
  void onForward(std::uint64_t aRevision, wire::Forward aForward);
  void onQueueTimer();
  void onTerminate();
  void onProbeTimer();
  net::Health health();
  void perform(Actions aActions);
  void perform(DeliverToUpstream& aAction);
  void perform(SendToCaller& aAction);
  void perform(SendMessage& aAction);
  void perform(const DropPacket& aAction);
  void perform(const telemetry::Event& aEvent);
  void onConfiguration(config::ConfigurationPtr aConfiguration);
  nlohmann::json status() const;

  RuntimeSettings mSettings;
  net::DeploymentHooks mHooks;
  net::MainLoop mLoop;
  telemetry::EventLog mLog;
  telemetry::Metrics mMetrics;
  FlowManager mFlowManager;
  base::GracefulStop mGracefulStop;
  bool mHasForwarded = false; ///< was allowed to forward since its start
  net::UdpSocket mSocket;
  std::unique_ptr<net::UdpSocket> mUpstreamSocket; ///< if mUpstreamListen is set
  AgentMetrics mAgentMetrics;
  telemetry::ConfigMetrics mConfigMetrics;
  telemetry::RecentEvents mRecentRefusals;
  telemetry::FlowSampler mFlowSampler;
  membership::Runtime mMembership;
  net::AdminServer mAdmin;
};

} // namespace cornelcross::agent
