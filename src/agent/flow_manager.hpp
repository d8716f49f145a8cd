#pragma once

#include "admission/admission_control.hpp"
#include "admission/admission_queue.hpp"
#include "agent/actions.hpp"
#include "agent/agent_settings.hpp"
#include "agent/candidate_forwarder.hpp"
#include "agent/flow_table.hpp"
#include "agent/keep_alive_prober.hpp"
#include "agent/measurement_callbacks.hpp"
#include "agent/returnable_packets.hpp"
#include "agent/upstream_health.hpp"
#include "agent/upstream_ownership_queries.hpp"
#include "config/configuration.hpp"
#include "flow/packet_format.hpp"
#include "flow/run_verdict.hpp"

#include <optional>
#include <unordered_set>

/// @brief The agent: owns the flows of the upstream beside it.
namespace cornelcross::agent {

/// @brief Admits new flows to the upstream, keeps established ones and passes on what it does not
/// own. Deterministic: has no clock, socket, thread or random source.
class FlowManager
{
public:
  explicit FlowManager(const AgentSettings& aSettings,
                       flow::PacketFormat aPacketFormat = flow::ipv4Format());
  FlowManager(const FlowManager&) = delete;
  FlowManager& operator=(const FlowManager&) = delete;

  /// @brief Tells aCallbacks of everything from now on.
  void setMeasurementCallbacks(MeasurementCallbacks aCallbacks)
  {
    mMeasurementCallbacks = std::move(aCallbacks);
  }

  /// @brief Puts a configuration into force. One with a lower revision is ignored.
  Actions apply(base::Time aNow, config::ConfigurationPtr aConfiguration);

  /// @brief A caller's packet from a balancer or another agent whose configuration is at aRevision.
  Actions onForward(base::Time aNow, std::uint64_t aRevision, wire::Forward aForward);

  /// @brief A caller's packet before this process may forward for the first time: goes on to the
  /// next candidate that the sender listed, with no denial from here.
  Actions onForwardWhileStarting(base::Time aNow, wire::Forward aForward);

  /// @brief An IP packet that the upstream sent to a caller.
  Actions onUpstreamPacket(base::Time aNow, flow::Bytes aPacket);

  /// @brief A packet that the upstream sent before this process may forward: an answer goes on to
  /// its caller, whatever the configuration.
  Actions onUpstreamPacketWhileStarting(flow::Bytes aPacket) const;

  /// @brief Admits no further flow: the process is about to end.
  void stopAcceptingFlows() { mIsStopping = true; }

  /// @brief Another agent of the service told its load.
  void onLoadReport(base::Time aNow, const wire::LoadReport& aReport);

  /// @brief Expires records; called about once a second.
  Actions onFlowTimer(base::Time aNow);

  /// @brief Releases or refuses what waits; called about every 20 ms.
  Actions onQueueTimer(base::Time aNow);

  /// @brief Tells other agents of the service the load; called about every 250 ms.
  Actions onReportTimer(base::Time aNow);
  /// @brief Probes silent peers; called a few times a second.
  Actions onProbeTimer(base::Time aNow);

  /// @brief Which agents answer.
  membership::FailureDetector& failureDetector() { return mFailureDetector; }

  /// @brief Which agents answer.
  const membership::FailureDetector& failureDetector() const { return mFailureDetector; }

  /// @brief Revision in force.
  std::uint64_t revision() const { return mConfiguration->mRevision; }

  /// @brief This agent's upstream under the configuration in force.
  const std::optional<config::Upstream>& upstream() const { return mUpstream; }

  /// @brief True if the upstream may be given new flows, apart from its load.
  bool acceptsNewFlows() const { return mUpstream && mConfiguration->acceptsNewFlows(*mUpstream); }

  /// @brief True if the upstream may receive packets.
  bool acceptsPackets() const { return mUpstream && mConfiguration->acceptsPackets(*mUpstream); }

  /// @brief Limits and load.
  const admission::AdmissionControl& admission() const { return mAdmission; }

  /// @brief New flows and requests that wait.
  const admission::AdmissionQueue<wire::Forward>& admissionQueue() const { return mAdmissionQueue; }

  /// @brief Flows held.
  const FlowTable& flows() const { return mFlows; }

private:
  Actions onSyn(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions onSegment(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions onUnrecordedSegment(base::Time aNow,
                              const flow::TcpPacket& aPacket,
                              wire::Forward aForward);
  Actions forwardUnserved(base::Time aNow,
                          const flow::TcpPacket& aPacket,
                          wire::Forward aForward,
                          DropReason aReason);
  Actions deliverReturnable(flow::Bytes aPacket, const wire::Forward& aForward);
  Actions queryUpstream(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions onReturnedPacket(base::Time aNow, const flow::TcpPacket& aPacket, flow::Bytes aBytes);
  void rewriteSyn(flow::Bytes& aBytes, const flow::TcpPacket& aPacket) const;
  Actions onOwnershipQuery(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  bool areRecordsComplete(base::Time aNow) const;
  bool hasSeenUpstreamStart(bool aIsFirst, bool aHasRestarted, bool aWasListed) const;
  Actions placeFlow(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions onNewFlow(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions admitFlow(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions queueFlow(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions forwardNewFlow(base::Time aNow,
                         const flow::TcpPacket& aPacket,
                         wire::Forward aForward,
                         const admission::ForwardTo& aTarget);
  Actions refuseQueuedFlow(const wire::Forward& aForward);
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
  flow::Endpoint mServiceAddress;
  std::uint64_t mServiceHash = 0;
  std::string mServiceName;
  admission::AdmissionControl mAdmission;
  admission::AdmissionQueue<wire::Forward> mAdmissionQueue;
  std::unordered_set<flow::FlowKey, flow::FlowKeyHash> mQueuedFlows;
  std::vector<flow::Endpoint> mReportTargets;            ///< the other agents of the service
  std::unordered_set<std::uint64_t> mReportingUpstreams; ///< identities of their upstreams
  std::size_t mNextReportTarget = 0;
  FlowTable mFlows;
  membership::FailureDetector mFailureDetector;
  CandidateForwarder mCandidateForwarder;
  UpstreamOwnershipQueries mUpstreamQueries;
  ReturnablePackets mReturnablePackets;
  UpstreamHealth mUpstreamHealth;
  KeepAliveProber mKeepAliveProber;
  bool mHasSeenUpstreamStart = false;       ///< the upstream has had no flow without this agent
  std::optional<base::Time> mRecoveryStart; ///< when the first configuration came into force
  std::uint64_t mLastProbeNonce = 0;
  bool mIsStopping = false;
};

} // namespace cornelcross::agent
