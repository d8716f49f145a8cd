#pragma once

#include "agent/agent_metrics.hpp"
#include "agent/flow_manager.hpp"
#include "base/graceful_stop.hpp"
#include "membership/runtime.hpp"
#include "net/admin_server.hpp"
#include "net/connection_attempt.hpp"
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
  AgentSettings mAgent;   ///< settings of FlowManager
  flow::Endpoint mListen; ///< receives datagrams from balancers, agents and the upstream
  std::optional<flow::Endpoint> mUpstreamListen; ///< receives datagrams from the upstream only
  std::uint16_t mAlternatePort = 0; ///< second source port of datagrams to other agents; 0 for any
  flow::Endpoint mAdmin;            ///< HTTP server for metrics, status and health
  flow::Endpoint mFabric;           ///< destination of IP packets for callers
  std::string mName;                ///< process name in logs
  membership::RuntimeSettings mMembership;
  std::uint32_t mDrainSeconds = 0;       ///< longest wait of a stopping agent for active requests
  std::uint32_t mFlowSampleInterval = 0; ///< one of this many flows is logged; 0 for none
  std::uint32_t mMaxFlowLogLinesPerSecond =
    telemetry::EventLog::kMaxLinesPerSecond; ///< bound on the log lines about single flows

  auto operator<=>(const RuntimeSettings&) const = default;
};

/// @brief Runs FlowManager on the process's sockets and timers.
class Runtime
{
public:
  explicit Runtime(const RuntimeSettings& aSettings, net::DeploymentHooks aHooks = {});

  /// @brief Runs until SIGTERM and the graceful stop that follows, or until a second SIGTERM.
  void run();

private:
  void onDatagram(std::span<const std::byte> aDatagram, flow::Endpoint aFrom);
  void onUpstreamDatagram(std::span<const std::byte> aDatagram, flow::Endpoint aFrom);
  void onFrame(std::span<const std::byte> aDatagram, flow::Endpoint aFrom);
  void onForward(std::uint64_t aRevision, wire::Forward aForward);
  void onQueueTimer();
  void scheduleQueue();
  void scheduleLookups();
  void onTerminate();
  void onProbeTimer();
  net::Health health();
  void perform(Actions aActions);
  void perform(DeliverToUpstream& aAction);
  void perform(SendToCaller& aAction);
  void perform(SendMessage& aAction);
  void perform(const DropPacket& aAction);
  void perform(const telemetry::Event& aEvent);
  void perform(const ConnectToUpstream& aAction);
  void perform(const WatchUpstream& aAction);
  void perform(const ReadUpstreamRecord& aAction);
  void checkUpstream(base::Time aNow);
  void checkUpstreamIfOverdue(base::Time aNow);
  net::DeploymentHooks applyingReloads(net::DeploymentHooks aHooks);
  void onWatchAttempt(flow::ConnectionOutcome aOutcome);
  void applyUpstreamSettings(const net::SettingsUpdate& aUpdate);
  void onConfiguration(config::ConfigurationPtr aConfiguration);
  nlohmann::json status() const;

  RuntimeSettings mSettings;
  net::DeploymentHooks mHooks;
  net::MainLoop mLoop;
  telemetry::EventLog mLog;
  telemetry::Metrics mMetrics;
  FlowManager mFlowManager;
  base::GracefulStop mGracefulStop;
  bool mIsQueueScheduled = false;
  bool mAreLookupsScheduled = false;
  bool mHasForwarded = false; ///< a packet arrived while the process was allowed to forward
  net::UdpSocket mSocket;
  std::unique_ptr<net::UdpSocket> mUpstreamSocket; ///< empty unless mUpstreamListen is set
  net::ConnectionAttempt mConnectionAttempt;
  net::ConnectionAttempt mWatchConnection;
  base::Time mLastUpstreamCheck;
  std::uint64_t mUpstreamChanges = 0; ///< changes of the settings of the upstream
  AgentMetrics mAgentMetrics;
  telemetry::ConfigMetrics mConfigMetrics;
  telemetry::RecentEvents mRecentRefusals;
  telemetry::FlowSampler mFlowSampler;
  membership::Runtime mMembership;
  net::AdminServer mAdmin;
};

} // namespace cornelcross::agent
