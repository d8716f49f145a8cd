#pragma once

#include "admission/admission_control.hpp"
#include "admission/admission_queue.hpp"
#include "admission/opening_wait.hpp"
#include "agent/actions.hpp"
#include "agent/agent_settings.hpp"
#include "agent/candidate_forwarder.hpp"
#include "agent/flap_detector.hpp"
#include "agent/flow_table.hpp"
#include "agent/keep_alive_prober.hpp"
#include "agent/measurement_callbacks.hpp"
#include "agent/ownership_evidence.hpp"
#include "agent/returnable_packets.hpp"
#include "agent/upstream_check.hpp"
#include "agent/upstream_health.hpp"
#include "agent/upstream_ownership_queries.hpp"
#include "config/configuration.hpp"
#include "flow/packet_format.hpp"
#include "flow/run_verdict.hpp"

#include <optional>
#include <unordered_set>

/// @brief The agent process, which owns the flows of the upstream that runs beside it.
namespace cornelcross::agent {

/// @brief Admits new flows to the upstream, delivers the packets of owned flows and forwards all
/// other packets to the next candidate. Deterministic: has no clock, socket, thread or random
/// source.
class FlowManager
{
public:
  explicit FlowManager(const AgentSettings& aSettings,
                       flow::PacketFormat aPacketFormat = flow::ipv4Format());
  FlowManager(const FlowManager&) = delete;
  FlowManager& operator=(const FlowManager&) = delete;

  /// @brief Sets the functions that receive measurements.
  void setMeasurementCallbacks(MeasurementCallbacks aCallbacks)
  {
    mMeasurementCallbacks = std::move(aCallbacks);
  }

  /// @brief Activates a configuration. A configuration with a lower revision than the active one is
  /// ignored.
  Actions apply(base::Time aNow, config::ConfigurationPtr aConfiguration);

  /// @brief Handles a caller's packet that a balancer or another agent forwarded.
  /// @param aRevision revision of the sender's configuration
  Actions onForward(base::Time aNow, std::uint64_t aRevision, wire::Forward aForward);

  /// @brief Handles a caller's packet that arrives before this process may forward for the first
  /// time: forwards the packet to the next candidate that the sender listed, without denying the
  /// flow.
  Actions onForwardWhileStarting(base::Time aNow, wire::Forward aForward);

  /// @brief Handles another agent's lookup of the owners of flows.
  /// @return a message to aFrom, and an attempt to connect to the upstream if one is due
  Actions onOwnerLookup(base::Time aNow, flow::Endpoint aFrom, const wire::OwnerLookup& aLookup);

  /// @brief Handles a reply to a lookup of this agent.
  /// @param aRevision revision of the sender's configuration
  Actions onOwnerLookupReply(base::Time aNow,
                             flow::Endpoint aFrom,
                             std::uint64_t aRevision,
                             const wire::OwnerLookupReply& aReply);

  /// @brief Starts an attempt to connect to the upstream if one is due. Called at the start of the
  /// process; onProbeTimer() repeats it.
  Actions tryUpstream(base::Time aNow);

  /// @brief Handles the outcome of an attempt to connect to the upstream.
  Actions onConnectionAttempt(base::Time aNow,
                              flow::Endpoint aEndpoint,
                              flow::ConnectionOutcome aOutcome);

  /// @brief Applies what the process observes of its upstream. Called about every 100 ms, and
  /// before a packet if that is longer ago.
  Actions onUpstreamChecked(base::Time aNow, const UpstreamCheck& aCheck);

  /// @brief True if the settings state this service and endpoint of the upstream.
  bool isBeside(const std::string& aService, const std::optional<flow::Endpoint>& aUpstream) const
  {
    return mSettings.mService == aService && mSettings.mUpstreamAddress == aUpstream;
  }

  /// @brief Replaces what the settings state of the upstream, because another one was placed beside
  /// this agent. Closes the flows of the former one.
  /// @param aService  its service; may be empty
  /// @param aUpstream its endpoint; empty if unknown
  Actions setUpstream(base::Time aNow,
                      const std::string& aService,
                      std::optional<flow::Endpoint> aUpstream);

  /// @brief Handles the outcome of an attempt to connect to the upstream and hold the connection.
  Actions onWatchAttempt(base::Time aNow, flow::ConnectionOutcome aOutcome);

  /// @brief Handles the record of the upstream; empty if the configuration service did not respond.
  Actions onUpstreamRecord(base::Time aNow, const std::optional<config::UpstreamRecord>& aRecord);

  /// @brief Handles an IP packet that the upstream sent to a caller or returned.
  Actions onUpstreamPacket(base::Time aNow, flow::Bytes aPacket);

  /// @brief Handles a packet that the upstream sent before this process may forward: a response is
  /// sent to its caller under any configuration.
  Actions onUpstreamPacketWhileStarting(flow::Bytes aPacket) const;

  /// @brief Admits no further flow, because the process is stopping.
  void stopAcceptingFlows() { mIsStopping = true; }

  /// @brief Handles the load report of another agent of the service.
  void onLoadReport(base::Time aNow, const wire::LoadReport& aReport);

  /// @brief Sends keep-alive probes and expires flow records. Called about once a second.
  /// @note O(n) for n flow records
  Actions onFlowTimer(base::Time aNow);

  /// @brief Admits queued flows, delivers queued requests and refuses flows whose queue time is
  /// over. Called about every 20 ms.
  Actions onQueueTimer(base::Time aNow);

  /// @brief Sends the upstream's load to other agents of the service. Called about every 250 ms.
  Actions onReportTimer(base::Time aNow);

  /// @brief Probes agents that have not replied lately, and continues the lookups of owners. Called
  /// about every 100 ms.
  Actions onProbeTimer(base::Time aNow);

  /// @brief Continues the lookups of owners. Called about every 25 ms while ownerLookupCount() is
  /// above 0.
  Actions onLookupTimer(base::Time aNow)
  {
    return mCandidateForwarder.ownerLookups().onTimer(aNow);
  }

  /// @brief Detector of agents that do not reply.
  membership::FailureDetector& failureDetector() { return mFailureDetector; }

  /// @brief Detector of agents that do not reply.
  const membership::FailureDetector& failureDetector() const { return mFailureDetector; }

  /// @brief Revision of the active configuration.
  std::uint64_t revision() const { return mConfiguration->mRevision; }

  /// @brief This agent's upstream in the active configuration; empty if no upstream is assigned.
  const std::optional<config::Upstream>& upstream() const { return mUpstream; }

  /// @brief True if the configuration allows new flows to the upstream, whatever its load.
  bool acceptsNewFlows() const { return mUpstream && mConfiguration->acceptsNewFlows(*mUpstream); }

  /// @brief True if the configuration allows packets to the upstream.
  bool acceptsPackets() const { return mUpstream && mConfiguration->acceptsPackets(*mUpstream); }

  /// @brief Limits and load of the upstream.
  const admission::AdmissionControl& admission() const { return mAdmission; }

  /// @brief Queued new flows and requests.
  const admission::AdmissionQueue<wire::Forward>& admissionQueue() const { return mAdmissionQueue; }

  /// @brief Records of the flows that the upstream owns.
  const FlowTable& flows() const { return mFlows; }

  /// @brief Number of flows whose owner this agent looks up.
  std::size_t ownerLookupCount() const { return mCandidateForwarder.ownerLookups().size(); }

private:
  Actions onSyn(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions onSynAfterEnd(base::Time aNow,
                        const flow::TcpPacket& aPacket,
                        wire::Forward aForward,
                        const FlowRecord& aRecord);
  bool mayReceiveSyn(base::Time aNow) const;
  Actions presenceEvents(base::Time aNow);
  Actions watchUpstream(base::Time aNow);
  Actions onSegment(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions onUnrecordedSegment(base::Time aNow,
                              const flow::TcpPacket& aPacket,
                              wire::Forward aForward);
  Actions forwardUnowned(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions forwardUnserved(base::Time aNow,
                          const flow::TcpPacket& aPacket,
                          wire::Forward aForward,
                          DropReason aReason);
  Actions deliverReturnable(flow::Bytes aPacket, const wire::Forward& aForward);
  Actions queryUpstream(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions onReturnedPacket(base::Time aNow, const flow::TcpPacket& aPacket, flow::Bytes aBytes);
  void rewriteSyn(flow::Bytes& aBytes, const flow::TcpPacket& aPacket) const;
  Actions onOwnershipQuery(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  wire::FlowOwnership ownershipOf(base::Time aNow, const flow::FlowKey& aFlow) const;
  bool mayDeny(base::Time aNow, const flow::FlowKey& aFlow) const;
  bool mayQuery(base::Time aNow,
                const flow::TcpPacket& aPacket,
                const wire::Forward& aForward) const;
  Actions placeFlow(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions onNewFlow(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions admitFlow(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  telemetry::Event openedEvent(base::Time aNow, const flow::FlowKey& aFlow) const;
  Actions admitHedgedFlow(base::Time aNow,
                          const flow::TcpPacket& aPacket,
                          wire::Forward aForward,
                          const admission::CandidateState& aState);
  admission::QueuePosition queuePosition(const flow::TcpPacket& aPacket) const;
  Actions queueOrRefuse(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  static Actions withExpectedWait(Actions aActions,
                                  const config::RequestClass* aRequests,
                                  const admission::QueueState& aState);
  bool hasFlowCapacity(base::Time aNow) const;
  bool upstreamAcceptsNewFlows(base::Time aNow) const;
  void recordUpstreamAccepts(base::Time aNow, Actions& aActions);
  void reportFailing(base::Time aNow, Actions& aActions);
  telemetry::Event unevenEvent(base::Time aNow, const std::string& aReason) const;
  Actions forwardNewFlow(base::Time aNow,
                         const flow::TcpPacket& aPacket,
                         wire::Forward aForward,
                         const admission::ForwardTo& aTarget);
  Actions refuseQueuedFlow(const wire::Forward& aForward);
  Actions onOpeningWaitExpired(const wire::Forward& aForward);
  Actions withRefusalDetails(Actions aActions) const;
  void recordVisitedAgents(const Actions& aActions, std::uint8_t aHops) const;
  void sendOwnerUpdate(const flow::FlowKey& aFlow,
                       const wire::Forward& aForward,
                       Actions& aActions);
  bool mustQueueRequest(const FlowRecord& aRecord, const flow::TcpPacket& aPacket) const;
  Actions queueRequest(base::Time aNow,
                       FlowRecord& aRecord,
                       const flow::TcpPacket& aPacket,
                       wire::Forward aForward);
  void dequeue(base::Time aNow, Actions& aActions);
  Actions deliverQueuedRequest(base::Time aNow, const wire::Forward& aForward);
  Actions admitQueuedFlow(base::Time aNow, wire::Forward aForward);
  void updateReportTargets(const config::Service& aService);
  void recordFirstRequest(base::Time aNow, const FlowRecord& aRecord);
  void beginClosing(base::Time aNow, FlowRecord& aRecord);
  void releaseLoad(base::Time aNow, const FlowRecord& aRecord);
  void expireLoad(base::Time aNow, FlowRecord& aRecord);
  Actions deliver(base::Time aNow,
                  FlowRecord& aRecord,
                  const flow::TcpPacket& aPacket,
                  const wire::Forward& aForward);
  Actions abortHalfOpen(base::Time aNow, const flow::FlowKey& aFlow, const FlowRecord& aRecord);
  void trackCallerPayload(base::Time aNow, FlowRecord& aRecord, const flow::TcpPacket& aPacket);
  void trackUpstreamPayload(base::Time aNow, FlowRecord& aRecord, const flow::TcpPacket& aPacket);
  telemetry::Event closeFlow(base::Time aNow,
                             const flow::FlowKey& aFlow,
                             const FlowRecord& aRecord,
                             const std::string& aReason);
  Actions closeAllFlows(base::Time aNow);
  Actions assignUpstream(base::Time aNow);
  bool isBesideThisAgent(const std::string& aService, const config::Upstream& aUpstream) const;
  telemetry::Event mismatchEvent(const std::string& aService,
                                 const config::Upstream& aUpstream) const;
  Actions onUnrecordedUpstreamSegment(base::Time aNow,
                                      const flow::TcpPacket& aPacket,
                                      flow::Bytes aBytes);
  Actions onUpstreamReset(base::Time aNow,
                          const FlowRecord& aRecord,
                          const flow::TcpPacket& aPacket,
                          flow::Bytes aBytes);
  Actions onUpstreamSegment(base::Time aNow,
                            FlowRecord& aRecord,
                            const flow::TcpPacket& aPacket,
                            flow::Bytes aBytes);
  void onSynAck(base::Time aNow,
                const flow::TcpPacket& aPacket,
                FlowRecord& aRecord,
                Actions& aActions);
  void probeSilentFlows(base::Time aNow, Actions& aActions);
  telemetry::Event assignmentEvent() const;
  bool isExpired(base::Time aNow, const FlowRecord& aRecord) const;

  AgentSettings mSettings;
  flow::PacketFormat mPacketFormat;
  MeasurementCallbacks mMeasurementCallbacks;
  config::ConfigurationPtr mConfiguration;
  std::optional<config::Upstream> mUpstream;
  std::optional<config::Upstream> mForeignUpstream; ///< listed for this agent, but not beside it
  flow::Endpoint mServiceAddress;
  std::uint64_t mServiceHash = 0;
  std::string mServiceName;
  admission::AdmissionControl mAdmission;
  admission::AdmissionQueue<wire::Forward> mAdmissionQueue;
  std::unordered_set<flow::FlowKey, flow::FlowKeyHash> mQueuedFlows;
  std::vector<flow::Endpoint> mReportTargets;            ///< other agents of the service
  std::unordered_set<std::uint64_t> mReportingUpstreams; ///< identities of their upstreams
  std::size_t mNextReportTarget = 0;
  FlowTable mFlows;
  membership::FailureDetector mFailureDetector;
  CandidateForwarder mCandidateForwarder;
  UpstreamOwnershipQueries mUpstreamQueries;
  ReturnablePackets mReturnablePackets;
  UpstreamHealth mUpstreamHealth;
  FlapDetector mFlapDetector;      ///< unused unless AdmissionSettings::mBalancesBySpeed is on
  bool mIsFailingReported = false; ///< an event told that the upstream fails
  UpstreamWatch mUpstreamWatch;
  bool mIsEndReported = false; ///< an event stated that the upstream has ended
  KeepAliveProber mKeepAliveProber;
  OwnershipEvidence mEvidence;
  bool mIsEvidenceNeeded = false; ///< another agent asked about a flow that this agent cannot deny
  std::uint64_t mLastProbeNonce = 0;
  bool mIsStopping = false;
};

} // namespace cornelcross::agent
