#pragma once

#include "config/document_store.hpp"
#include "config/retained_routes.hpp"
#include "membership/configuration_sync.hpp"
#include "membership/control_queue.hpp"
#include "net/deployment_hooks.hpp"
#include "net/main_loop.hpp"
#include "net/pull_client.hpp"
#include "net/pull_server.hpp"
#include "telemetry/event_log.hpp"
#include "telemetry/metrics.hpp"

#include <nlohmann/json.hpp>

namespace cornelcross::membership {

/// @brief Settings of the membership of a process.
struct RuntimeSettings
{
  Settings mSync;                               ///< settings of the decisions
  flow::Endpoint mListen;                       ///< where pulls of peers are answered over TCP
  std::uint16_t mPullPort = 0;                  ///< that of peers' pulls; 0: their port in frames
  flow::Endpoint mConfigService;                ///< configuration service
  std::uint32_t mControlBytesPerSecond = 20000; ///< budget for control traffic
  base::Duration mRetainedLifetime = std::chrono::hours(12); ///< see config::RetainedRoutes
  base::Duration mZoneDrainTime{ 0 };                        ///< see config::RetainedRoutes
  bool mRetainsLeaving = false;                              ///< see config::RetainedRoutes
  std::uint64_t mStartedAtMs = 0; ///< wall clock of this process's start; 0 if not known

  auto operator<=>(const RuntimeSettings&) const = default;
};

/// @brief Keeps the configuration of a process up to date from the service and from peers, and
/// sends all of its control traffic within the budget.
class Runtime
{
public:
  /// @brief Sends a datagram.
  using Sender = std::function<void(flow::Endpoint, flow::Bytes)>;

  /// @brief Called with each configuration that comes into force.
  using Listener = std::function<void(config::ConfigurationPtr)>;

  Runtime(const RuntimeSettings& aSettings,
          const telemetry::EventLog& aLog,
          telemetry::Metrics& aMetrics,
          Sender aSender,
          Listener aListener,
          const net::DeploymentHooks& aHooks = {});

  /// @brief Starts reading, pulling and telling; aLoop must live longer.
  void start(net::MainLoop& aLoop);

  /// @brief Takes the revision of any frame, and the frame itself if it is a heartbeat.
  void onFrame(flow::Endpoint aFrom, const wire::Frame& aFrame, std::size_t aBytes);

  /// @brief True if packets may be forwarded now; false after a start or a pause until the
  /// revision in force has been confirmed.
  bool mayForward();

  /// @brief Sends a control message within the budget: now, or later if it is over it.
  void send(flow::Endpoint aTo, const wire::Message& aMessage);

  /// @brief Accepted documents.
  const config::DocumentStore& store() const { return mStore; }

  /// @brief State for operators.
  nlohmann::json status() const;

private:
  void perform(const Actions& aActions);
  void perform(const SendHeartbeat& aAction);
  void perform(const StartPull& aAction);
  void perform(const ReadService& aAction);
  void perform(const telemetry::Event& aEvent);
  void sendAll(std::vector<ControlDatagram> aDatagrams);
  void reloadSettings();
  void putInForce(config::ConfigurationPtr aConfiguration);
  void expireRetained(base::Time aNow);
  net::DocumentSource makeSource(const net::DocumentSourceFactory& aFactory);
  void onServiceResult(const net::ConfigResult& aResult);
  void onPullReply(flow::Endpoint aPeer, const std::optional<net::ReceivedMessage>& aReply);
  flow::Bytes answerPull(std::span<const std::byte> aRequest);
  void merge(const config::DocumentBatch& aBatch, const std::string& aSource);
  void count(ControlKind aKind, const std::string& aDirection, std::size_t aBytes);

  RuntimeSettings mSettings;
  const telemetry::EventLog& mLog;
  telemetry::Metrics& mMetrics;
  Sender mSender;
  Listener mListener;
  config::DocumentStore mStore;
  ConfigurationSync mSync;
  ControlBudget mBudget;
  ControlQueue mQueue;
  config::RetainedRoutes mRetained;
  config::ConfigurationPtr mInForce = std::make_shared<const config::Configuration>();
  net::DocumentSource mService;
  std::function<net::SettingsReloadResult()> mReloadSettings;
  net::PullClient mPullClient;
  net::PullServer mPullServer;
  prometheus::Histogram& mApplySeconds;
};

} // namespace cornelcross::membership
