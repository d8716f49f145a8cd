#pragma once

#include "admission/admission_control.hpp"
#include "admission/admission_queue.hpp"
#include "agent/actions.hpp"
#include "agent/agent_settings.hpp"
#include "agent/chain.hpp"
#include "agent/flow_table.hpp"
#include "agent/keep_alive.hpp"
#include "agent/observers.hpp"
#include "agent/returnable_packets.hpp"
#include "agent/upstream_ownership_queries.hpp"
#include "agent/upstream_watch.hpp"
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

  /// @brief Tells aObservers of everything from now on.
  void observe(Observers aObservers) { mObservers = std::move(aObservers); }

  /// @brief Puts a configuration into force. One with a lower revision is ignored.
  Actions apply(base::Time aNow, config::ConfigurationPtr aConfiguration);

  /// @brief A caller's packet from a balancer or another agent whose configuration is at aRevision.
  Actions onForward(base::Time aNow, std::uint64_t aRevision, wire::Forward aForward);

  /// @brief A caller's packet before this process may forward for the first time: goes on to the
  /// next candidate that the sender listed, with no denial from here.
  Actions passWhileStarting(base::Time aNow, wire::Forward aForward);

  /// @brief An IP packet that the upstream sent to a caller.
  Actions onUpstreamPacket(base::Time aNow, flow::Bytes aPacket);

  /// @brief A packet that the upstream sent before this process may forward: an answer goes on to
  /// its caller, whatever the configuration.
  Actions relayWhileStarting(flow::Bytes aPacket) const;

  /// @brief Admits no further flow: the process is about to end.
  void stopAdmitting() { mIsStopping = true; }

  /// @brief Another agent of the service told its load.
  void onLoadReport(base::Time aNow, const wire::LoadReport& aReport);

  /// @brief Expires records; called about once a second.
  Actions onTick(base::Time aNow);

  /// @brief Releases or refuses what waits; called about every 20 ms.
  Actions onQueueTimer(base::Time aNow);

  /// @brief Tells other agents of the service the load; called about every 250 ms.
  Actions onReportTimer(base::Time aNow);
  /// @brief Probes silent peers; called a few times a second.
  Actions onPeerTick(base::Time aNow);

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
  const admission::AdmissionQueue<wire::Forward>& pending() const { return mPending; }

  /// @brief Flows held.
  const FlowTable& flows() const { return mFlows; }

private:
  Actions onSyn(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions onSegment(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions onUnrecorded(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions passUnserved(base::Time aNow,
                       const flow::TcpPacket& aPacket,
                       wire::Forward aForward,
                       DropReason aReason);
  Actions deliverReturnable(flow::Bytes aPacket, const wire::Forward& aForward);
  Actions askUpstream(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions onReturned(base::Time aNow, const flow::TcpPacket& aPacket, flow::Bytes aBytes);
  void editSyn(flow::Bytes& aBytes, const flow::TcpPacket& aPacket) const;
  Actions onInquiry(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  bool recordsAreComplete(base::Time aNow) const;
  bool sawUpstreamStart(bool aIsFirst, bool aHasRestarted, bool aWasListed) const;
  Actions decideOpening(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions open(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions admit(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions queueFlow(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);
  Actions passOpening(base::Time aNow,
                      const flow::TcpPacket& aPacket,
                      wire::Forward aForward,
                      const admission::ForwardTo& aPass);
  Actions refuse(const wire::Forward& aForward);
  Actions explained(Actions aActions) const;
  void noteSettled(const Actions& aActions, std::uint8_t aHops) const;
  void sendOwnerUpdate(const flow::FlowKey& aFlow,
                       const wire::Forward& aForward,
                       Actions& aActions);
  bool mustWait(const FlowRecord& aRecord, const flow::TcpPacket& aPacket) const;
  Actions queueRequest(base::Time aNow,
                       FlowRecord& aRecord,
                       const flow::TcpPacket& aPacket,
                       wire::Forward aForward);
  void release(base::Time aNow, Actions& aActions);
  Actions releaseRequest(base::Time aNow, const wire::Forward& aForward);
  Actions releaseFlow(base::Time aNow, wire::Forward aForward);
  void collectReporters(const config::Service& aService);
  void noteFirstRequest(base::Time aNow, const FlowRecord& aRecord);
  void beginClosing(base::Time aNow, FlowRecord& aRecord);
  void endLoad(base::Time aNow, const FlowRecord& aRecord);
  void updateLoad(base::Time aNow, FlowRecord& aRecord);
  Actions deliver(base::Time aNow,
                  FlowRecord& aRecord,
                  const flow::TcpPacket& aPacket,
                  const wire::Forward& aForward);
  Actions abandonHalfOpen(base::Time aNow, const flow::FlowKey& aFlow, const FlowRecord& aRecord);
  void trackCallerPayload(base::Time aNow, FlowRecord& aRecord, const flow::TcpPacket& aPacket);
  void trackUpstreamPayload(base::Time aNow, FlowRecord& aRecord, const flow::TcpPacket& aPacket);
  telemetry::Event close(base::Time aNow,
                         const flow::FlowKey& aFlow,
                         const FlowRecord& aRecord,
                         const std::string& aReason);
  Actions releaseFlows(base::Time aNow);
  Actions onUnrecordedAnswer(base::Time aNow, const flow::TcpPacket& aPacket, flow::Bytes aBytes);
  Actions onUpstreamReset(base::Time aNow,
                          const FlowRecord& aRecord,
                          const flow::TcpPacket& aPacket,
                          flow::Bytes aBytes);
  Actions onAnswer(base::Time aNow,
                   FlowRecord& aRecord,
                   const flow::TcpPacket& aPacket,
                   flow::Bytes aBytes);
  void acceptSyn(base::Time aNow,
                 const flow::TcpPacket& aPacket,
                 FlowRecord& aRecord,
                 Actions& aActions);
  void keepAlive(base::Time aNow, Actions& aActions);
  telemetry::Event assignment() const;
  bool isExpired(base::Time aNow, const FlowRecord& aRecord) const;

  AgentSettings mSettings;
  flow::PacketFormat mPacketFormat;
  Observers mObservers;
  config::ConfigurationPtr mConfiguration;
  std::optional<config::Upstream> mUpstream;
  flow::Endpoint mServiceAddress;
  std::uint64_t mService = 0;
  std::string mServiceName;
  admission::AdmissionControl mAdmission;
  admission::AdmissionQueue<wire::Forward> mPending;
  std::unordered_set<flow::FlowKey, flow::FlowKeyHash> mQueuedFlows;
  std::vector<flow::Endpoint> mReportTargets;   ///< the other agents of the service
  std::unordered_set<std::uint64_t> mReporters; ///< identities of their upstreams
  std::size_t mNextTarget = 0;
  FlowTable mFlows;
  membership::FailureDetector mFailureDetector;
  Chain mChain;
  UpstreamOwnershipQueries mUpstreamQueries;
  ReturnablePackets mReturnable;
  UpstreamWatch mUpstreamWatch;
  KeepAlive mKeepAlive;
  bool mSawUpstreamStart = false;     ///< the upstream has had no flow without this agent
  std::optional<base::Time> mStarted; ///< when the first configuration came into force
  std::uint64_t mNonce = 0;
  bool mIsStopping = false;
};

} // namespace cornelcross::agent
