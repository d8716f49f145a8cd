#include "membership/runtime.hpp"

#include "config/document_key.hpp"
#include "membership/configuration_changes.hpp"
#include "wire/codec.hpp"

#include <algorithm>
#include <limits>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace cornelcross::membership {

namespace {

using telemetry::EventKind;

constexpr base::Duration kTickInterval = std::chrono::milliseconds(100);
constexpr base::Duration kSettingsReloadInterval = std::chrono::seconds(2); // polls the file
constexpr base::Duration kBudgetBurst = std::chrono::seconds(5);
constexpr std::size_t kMaxOutdatedDocumentEvents = 16; // per batch
constexpr std::size_t kMaxPullReplyBytes = 256 * 1024; // document text in one reply
constexpr std::size_t kStreamOverheadBytes = 400;      // TCP and IP headers of a short connection
constexpr std::size_t kServiceRequestBytes = 250;      // HTTP request with headers

} // namespace

Runtime::Runtime(const RuntimeSettings& aSettings,
                 const telemetry::EventLog& aLog,
                 telemetry::Metrics& aMetrics,
                 Sender aSender,
                 Listener aListener,
                 const net::DeploymentHooks& aHooks)
  : mSettings(aSettings)
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mSender(std::move(aSender))
  , mListener(std::move(aListener))
  , mSync(aSettings.mSync)
  , mBudget(aSettings.mControlBytesPerSecond, kBudgetBurst)
  , mQueue(mBudget)
  , mRetained(aSettings.mRetainedLifetime,
              aSettings.mZoneDrainTime,
              aSettings.mStartedAtMs,
              aSettings.mRetainsLeaving)
  , mDocumentSource(makeDocumentSource(aHooks.mDocumentSource
                                         ? aHooks.mDocumentSource
                                         : net::configServiceSource(aSettings.mConfigService)))
  , mReloadSettings(aHooks.mReloadSettings)
  , mPullClient(aSettings.mSync.mPullDeadline)
  , mPullServer(
      aSettings.mListen,
      [this](std::span<const std::byte> aRequest) { return makePullReply(aRequest); },
      [this](std::size_t aBytes) {
        mBudget.charge(net::MainLoop::now(), aBytes + kStreamOverheadBytes);
        countControlMessage(ControlKind::kPull, "out", aBytes + kStreamOverheadBytes);
      })
  , mApplySeconds(mMetrics.histogram("cornelcross_config_apply_seconds",
                                     "From the arrival of new documents until they were in force",
                                     telemetry::latencyBuckets()))
{
  auto& age = mMetrics.gauge("cornelcross_config_service_age_seconds",
                             "Age of the newest answer of the configuration service that this "
                             "process heard of; NaN before the first");
  mMetrics.onExpose([this, &age] {
    const auto serviceAge = mSync.serviceAge(net::MainLoop::now());
    age.Set(serviceAge ? std::chrono::duration<double>(*serviceAge).count()
                       : std::numeric_limits<double>::quiet_NaN());
  });
}

net::DocumentSource Runtime::makeDocumentSource(const net::DocumentSourceFactory& aFactory)
{
  return aFactory({ [this](const net::ConfigResult& aResult) { onServiceResult(aResult); },
                    [this](const std::string& aKey) -> std::optional<config::Document> {
                      const auto found = mStore.documentsForKeys({ aKey });
                      return found.empty() ? std::nullopt : std::optional(found.front());
                    },
                    [this](const std::string& aPrefix) { return mStore.keysWithPrefix(aPrefix); },
                    [this](const telemetry::Event& aEvent) { mLog.write(aEvent); } });
}

void Runtime::activate(config::ConfigurationPtr aConfiguration)
{
  for (const telemetry::Event& event : changeEvents(*mActive, *aConfiguration)) {
    mLog.write(event);
  }
  mActive = aConfiguration;
  mListener(std::move(aConfiguration));
}

void Runtime::expireRetainedRoutes(base::Time aNow)
{
  if (mRetained.isComplete()) {
    mSync.onRetainedStateComplete();
  }
  if (auto configuration = mRetained.expire(aNow)) {
    activate(std::move(configuration));
  }
}

void Runtime::reloadSettings()
{
  if (!mReloadSettings) {
    return;
  }
  const net::SettingsReloadResult result = mReloadSettings();
  if (const auto* error = std::get_if<net::SettingsError>(&result)) {
    mLog.write({ EventKind::kSettingsRejected, { { "error", error->mReason } } });
  } else if (const auto* update = std::get_if<net::SettingsUpdate>(&result)) {
    mSync.setSeeds(update->mSeeds);
    telemetry::Event event{ EventKind::kSettingsApplied,
                            { { "peers", std::to_string(update->mSeeds.size()) },
                              { "needs_restart", update->mNeedsRestart ? "yes" : "no" } } };
    if (update->mUpstream) {
      event.mFields.emplace_back("service", update->mService);
      event.mFields.emplace_back("upstream", update->mUpstream->toString());
    }
    mLog.write(event);
  }
}

void Runtime::start(net::MainLoop& aLoop)
{
  // Without settings to reload, SIGHUP would end the process.
  aLoop.onHangup([this] { reloadSettings(); });
  if (mReloadSettings) {
    aLoop.every(kSettingsReloadInterval, [this] { reloadSettings(); });
  }
  aLoop.every(kTickInterval, [this] {
    const base::Time now = net::MainLoop::now();
    perform(mSync.onTick(now));
    expireRetainedRoutes(now);
    sendAll(mQueue.dequeueReady(now));
  });
  perform(mSync.start(net::MainLoop::now()));
}

void Runtime::onFrame(flow::Endpoint aFrom, const wire::Frame& aFrame, std::size_t aBytes)
{
  if (const auto kind = controlKindOf(aFrame.mMessage)) {
    countControlMessage(*kind, "in", aBytes + kDatagramHeaderBytes);
  }
  const base::Time now = net::MainLoop::now();
  if (const auto* heartbeat = std::get_if<wire::Heartbeat>(&aFrame.mMessage)) {
    perform(mSync.onHeartbeat(now, aFrame.mRevision, *heartbeat));
  } else {
    perform(mSync.onFrame(now, aFrom, aFrame.mRevision));
  }
}

bool Runtime::mayForward()
{
  perform(mSync.detectPause(net::MainLoop::now()));
  return mSync.mayForward();
}

void Runtime::send(flow::Endpoint aTo, const wire::Message& aMessage)
{
  const auto kind = controlKindOf(aMessage);
  flow::Bytes bytes = wire::encode({ mStore.revision(), aMessage });
  if (!kind) {
    mSender(aTo, std::move(bytes));
    return;
  }
  sendAll(mQueue.enqueue(net::MainLoop::now(), { *kind, aTo, std::move(bytes) }));
}

void Runtime::sendAll(std::vector<ControlDatagram> aDatagrams)
{
  for (ControlDatagram& datagram : aDatagrams) {
    countControlMessage(datagram.mKind, "out", networkBytes(datagram));
    mSender(datagram.mTo, std::move(datagram.mBytes));
  }
}

void Runtime::perform(const Actions& aActions)
{
  for (const Action& action : aActions) {
    std::visit([this](const auto& aAction) { perform(aAction); }, action);
  }
}

void Runtime::perform(const SendHeartbeat& aAction)
{
  send(aAction.mTo, aAction.mHeartbeat);
}

void Runtime::perform(const StartPull& aAction)
{
  wire::PullRequest pull = aAction.mRequest;
  pull.mKeys.emplace_back(config::kReaderStateKey);
  const flow::Bytes request = wire::encode(pull);
  const std::size_t bytes = request.size() + kStreamOverheadBytes;
  mBudget.charge(net::MainLoop::now(), bytes);
  countControlMessage(ControlKind::kPull, "out", bytes);
  flow::Endpoint peer = aAction.mPeer;
  peer.mPort = mSettings.mPullPort == 0 ? peer.mPort : mSettings.mPullPort;
  mPullClient.request(
    peer, request, [this, peer = aAction.mPeer](const std::optional<net::ReceivedMessage>& aReply) {
      onPullReply(peer, aReply);
    });
}

void Runtime::perform(const ReadService& aAction)
{
  mReadRevision = aAction.mAfterRevision;
  mBudget.charge(net::MainLoop::now(), kServiceRequestBytes);
  countControlMessage(ControlKind::kServiceRead, "out", kServiceRequestBytes);
  mDocumentSource.mRead(aAction.mAfterRevision, aAction.mWaitSeconds, aAction.mIsCheck);
}

void Runtime::perform(const telemetry::Event& aEvent)
{
  mLog.write(aEvent);
}

void Runtime::onServiceResult(const net::ConfigResult& aResult)
{
  const auto* response = std::get_if<net::ConfigResponse>(&aResult);
  mMetrics
    .counter("cornelcross_config_service_calls_total",
             "Calls to the configuration service that ended, by result",
             { { "result", response == nullptr ? "failed" : "answered" } })
    .Increment();
  if (response == nullptr) {
    perform(telemetry::Event{ EventKind::kConfigUnavailable,
                              { { "reason", std::get<net::ConfigFailure>(aResult).mReason } } });
    perform(mSync.onServiceReadFinished(net::MainLoop::now(), std::nullopt));
    return;
  }
  mBudget.charge(net::MainLoop::now(), response->mBodyBytes);
  countControlMessage(ControlKind::kServiceRead, "in", response->mBodyBytes);
  if (mStore.isOvertaken(response->mBatch, mReadRevision)) {
    logOutdated(response->mBatch, "service");
  } else {
    merge(response->mBatch, "service");
    if (response->mAreDeletionsUnknown) {
      mStore.setDeletionsUnknown();
    }
  }
  mSync.setProvisional(response->mIsProvisional);
  perform(mSync.onServiceReadFinished(
    net::MainLoop::now(), response->mBatch.mRevision, response->mIsCurrent));
}

void Runtime::onPullReply(flow::Endpoint aPeer, const std::optional<net::ReceivedMessage>& aReply)
{
  std::optional<wire::PullReply> reply;
  if (aReply) {
    mBudget.charge(net::MainLoop::now(), aReply->mWireBytes);
    countControlMessage(ControlKind::kPull, "in", aReply->mWireBytes);
    reply = wire::decodePullReply(aReply->mBody);
  }
  if (!reply || reply->mIsBusy) {
    perform(mSync.onPullFinished(net::MainLoop::now(), std::nullopt));
    return;
  }
  merge(mDocumentSource.mReconcile ? mDocumentSource.mReconcile(reply->mBatch) : reply->mBatch,
        aPeer.toString());
  if (!mRetained.isComplete()) {
    activate(mRetained.merge(net::MainLoop::now(), reply->mRetainedState));
  }
  perform(mSync.onPullFinished(net::MainLoop::now(), reply->mBatch.mRevision));
}

flow::Bytes Runtime::makePullReply(std::span<const std::byte> aRequest)
{
  wire::PullReply reply;
  const auto request = wire::decodePullRequest(aRequest);
  reply.mIsBusy = !request || mBudget.availableBytes(net::MainLoop::now()) <= 0;
  if (!reply.mIsBusy) {
    reply.mBatch = mStore.batchAfter(request->mAfterRevision, kMaxPullReplyBytes);
    reply.mRetainedState = mRetained.retainedState(net::MainLoop::now());
    for (config::Document& document : mStore.documentsForKeys(request->mKeys)) {
      reply.mBatch.mDocuments.push_back(std::move(document));
    }
  }
  return wire::encode(reply);
}

void Runtime::merge(const config::DocumentBatch& aBatch, const std::string& aSource)
{
  const base::Time arrived = net::MainLoop::now();
  const config::ConfigurationPtr before = mStore.configuration();
  logOutdated(aBatch, aSource);
  for (const auto& error : mStore.merge(aBatch)) {
    mLog.write({ EventKind::kConfigRejected,
                 { { "revision", std::to_string(aBatch.mRevision) },
                   { "source", aSource },
                   { "error", error.toString() } } });
  }
  if (mStore.configuration() == before) {
    return;
  }
  mLog.write({ EventKind::kConfigApplied,
               { { "revision", std::to_string(mStore.revision()) }, { "source", aSource } } });
  mMetrics.gauge("cornelcross_config_revision", "Configuration revision in force")
    .Set(static_cast<double>(mStore.revision()));
  activate(mRetained.apply(net::MainLoop::now(), mStore.configuration()));
  mApplySeconds.Observe(std::chrono::duration<double>(net::MainLoop::now() - arrived).count());
  perform(mSync.apply(net::MainLoop::now(), *mStore.configuration(), mStore.rejectedKeys()));
}

void Runtime::logOutdated(const config::DocumentBatch& aBatch, const std::string& aSource)
{
  std::vector<config::Document> outdated = mStore.outdatedDocuments(aBatch.mDocuments);
  const std::size_t surplus =
    outdated.size() - std::min(outdated.size(), kMaxOutdatedDocumentEvents);
  outdated.resize(outdated.size() - surplus);
  for (const config::Document& document : outdated) {
    const auto accepted = mStore.documentsForKeys({ document.mKey });
    mLog.write({ EventKind::kConfigOutdated,
                 { { "key", document.mKey },
                   { "revision", std::to_string(document.mRevision) },
                   { "accepted", std::to_string(accepted.front().mRevision) },
                   { "source", aSource } } });
  }
  if (surplus > 0) {
    mLog.write({ EventKind::kLogSuppressed, { { "lines", std::to_string(surplus) } } });
  }
}

void Runtime::countControlMessage(ControlKind aKind,
                                  const std::string& aDirection,
                                  std::size_t aBytes)
{
  const telemetry::Metrics::Labels labels{ { "kind", std::string(toString(aKind)) },
                                           { "direction", aDirection } };
  mMetrics
    .counter("cornelcross_control_bytes_total", "Bytes of control traffic with headers", labels)
    .Increment(static_cast<double>(aBytes));
  mMetrics.counter("cornelcross_control_messages_total", "Control messages", labels).Increment();
}

nlohmann::json Runtime::status() const
{
  const auto age = mSync.serviceAge(net::MainLoop::now());
  nlohmann::json status = { { "may_forward", mSync.mayForward() },
                            { "reads_service", mSync.isReader() },
                            { "service_calls", mDocumentSource.mRequestCount() },
                            { "peers", mSync.peerCount() },
                            { "control_dropped", mQueue.droppedCount() } };
  if (age) {
    status["service_age_seconds"] = std::chrono::duration<double>(*age).count();
  }
  return status;
}

} // namespace cornelcross::membership
