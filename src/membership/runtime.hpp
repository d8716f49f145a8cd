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

/// @brief Settings of a Runtime.
struct RuntimeSettings
{
  Settings mSync;                ///< settings of the configuration sync
  flow::Endpoint mListen;        ///< local endpoint that accepts pulls of peers over TCP
  std::uint16_t mPullPort = 0;   ///< TCP port for pulls from peers; 0: that of the peer's endpoint
  flow::Endpoint mConfigService; ///< endpoint of the configuration service
  std::uint32_t mControlBytesPerSecond = 20000;              ///< rate limit of control traffic
  base::Duration mRetainedLifetime = std::chrono::hours(12); ///< see config::RetainedRoutes
  base::Duration mZoneDrainTime{ 0 };                        ///< see config::RetainedRoutes
  bool mRetainsLeaving = false;                              ///< see config::RetainedRoutes
  std::uint64_t mStartedAtMs = 0; ///< start of the process in ms since the epoch; 0 if unknown

  auto operator<=>(const RuntimeSettings&) const = default;
};

/// @brief I/O part of the membership: performs the actions of ConfigurationSync on the main loop,
/// stores and activates configurations, and sends all control traffic of the process within the
/// budget.
class Runtime
{
public:
  /// @brief Sends a datagram.
  using Sender = std::function<void(flow::Endpoint, flow::Bytes)>;

  /// @brief Receives each configuration that becomes active.
  using Listener = std::function<void(config::ConfigurationPtr)>;

  Runtime(const RuntimeSettings& aSettings,
          const telemetry::EventLog& aLog,
          telemetry::Metrics& aMetrics,
          Sender aSender,
          Listener aListener,
          const net::DeploymentHooks& aHooks = {});

  /// @brief Registers the timers on aLoop and starts the synchronisation. aLoop must outlive this
  /// object.
  void start(net::MainLoop& aLoop);

  /// @brief Handles a received frame: its revision, and its message if that is a heartbeat.
  /// @param aBytes size of the datagram, without IP and UDP headers
  void onFrame(flow::Endpoint aFrom, const wire::Frame& aFrame, std::size_t aBytes);

  /// @brief True if packets may be forwarded now; false after a start or a pause of the process
  /// until the active revision is confirmed.
  bool mayForward();

  /// @brief Applies changed settings, if any.
  void reloadSettings();

  /// @brief True if the active revision is confirmed, as of the last pause that was detected.
  bool isConfirmed() const { return mSync.mayForward(); }

  /// @brief Sends a message. Queues a control message that exceeds the budget; sends a forwarded
  /// packet at once.
  void send(flow::Endpoint aTo, const wire::Message& aMessage);

  /// @brief Returns the store of the accepted documents.
  const config::DocumentStore& store() const { return mStore; }

  /// @brief Age of the newest response of the configuration service to any process, as far as
  /// this process knows; empty before the first.
  std::optional<base::Duration> serviceAge(base::Time aNow) const { return mSync.serviceAge(aNow); }

  /// @brief Returns the state of the membership for the status page.
  nlohmann::json status() const;

private:
  void perform(const Actions& aActions);
  void perform(const SendHeartbeat& aAction);
  void perform(const StartPull& aAction);
  void perform(const ReadService& aAction);
  void perform(const telemetry::Event& aEvent);
  void sendAll(std::vector<ControlDatagram> aDatagrams);
  void activate(config::ConfigurationPtr aConfiguration);
  void expireRetainedRoutes(base::Time aNow);
  net::DocumentSource makeDocumentSource(const net::DocumentSourceFactory& aFactory);
  void onServiceResult(const net::ConfigResult& aResult);
  void onPullReply(flow::Endpoint aPeer, const std::optional<net::ReceivedMessage>& aReply);
  flow::Bytes makePullReply(std::span<const std::byte> aRequest);
  void merge(const config::DocumentBatch& aBatch, const std::string& aSource);
  void logOutdated(const config::DocumentBatch& aBatch, const std::string& aSource);
  void countControlMessage(ControlKind aKind, const std::string& aDirection, std::size_t aBytes);

  RuntimeSettings mSettings;
  const telemetry::EventLog& mLog;
  telemetry::Metrics& mMetrics;
  Sender mSender;
  Listener mListener;
  config::DocumentStore mStore;
  ConfigurationSync mSync;
  ControlBudget mBudget;
  std::uint64_t mReadRevision = 0; ///< active at the start of the last read of the service
  ControlQueue mQueue;
  config::RetainedRoutes mRetained;
  config::ConfigurationPtr mActive = std::make_shared<const config::Configuration>();
  net::DocumentSource mDocumentSource;
  std::function<net::SettingsReloadResult()> mReloadSettings;
  net::PullClient mPullClient;
  net::PullServer mPullServer;
  prometheus::Histogram& mApplySeconds;
};

} // namespace cornelcross::membership
