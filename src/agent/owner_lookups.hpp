#pragma once

#include "agent/actions.hpp"
#include "flow/packet_format.hpp"
#include "membership/failure_detector.hpp"
#include "routing/service_table.hpp"

#include <functional>
#include <map>
#include <set>

namespace cornelcross::agent {

/// @brief Finds the owners of flows by asking all agents that may own them at once.
///
/// Lookups are answered in rounds: one round asks each agent about all flows that wait, in one
/// message. The messages per second therefore do not depend on the number of flows, and a lookup
/// takes one round trip however many upstreams a service has. The packets of a flow wait here until
/// the owner is found, or until every agent has denied the flow, which is then reset.
///
/// Deterministic: the caller passes the current time to each call.
class OwnerLookups
{
public:
  /// Returns what this agent can say about a flow.
  using OwnershipHook = std::function<wire::FlowOwnership(base::Time, const flow::FlowKey&)>;

  /// @param aSelf            address of this agent
  /// @param aFailureDetector detector of agents that do not reply; outlives this object
  /// @param aPacketFormat    layout of packets; outlives this object
  /// @param aServiceTable    services of the active configuration; outlives this object
  /// @param aOwnershipHook   ownership of flows at this agent
  OwnerLookups(flow::Endpoint aSelf,
               membership::FailureDetector& aFailureDetector,
               const flow::PacketFormat& aPacketFormat,
               const routing::ServiceTable& aServiceTable,
               OwnershipHook aOwnershipHook);

  /// @brief Starts a lookup of the owner of a packet's flow, or adds the packet to the flow's
  /// lookup. Drops the packet if too many packets wait.
  Actions start(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);

  /// @brief Handles the reply of an agent. A reply that answers no pending query is ignored.
  /// @param aRevision revision of the agent's configuration
  Actions onReply(base::Time aNow,
                  flow::Endpoint aFrom,
                  std::uint64_t aRevision,
                  const wire::OwnerLookupReply& aReply);

  /// @brief Ends rounds without further replies and starts due ones. Called about every 100 ms.
  Actions onTimer(base::Time aNow);

  /// @brief Number of flows whose owner is being looked up.
  std::size_t size() const { return mLookups.size(); }

private:
  /// Lookup of the owner of one flow.
  struct Lookup
  {
    flow::TcpPacket mLastPacket; ///< header fields of the newest packet
    std::vector<flow::Bytes> mPackets;
    flow::Endpoint mIngress; ///< balancer that received the packets
    base::Time mStartedAt;
    base::Time mNextRoundAt;
    std::uint32_t mRounds = 0;
    bool mHasSameCandidates = false; ///< all processes on the newest packet's path listed the same
    std::uint64_t mNewestRevision = 0;   ///< highest revision of the agents that replied
    std::set<flow::Endpoint> mDeniedBy;  ///< agents whose upstream does not have the flow
    std::set<flow::Endpoint> mUnknownAt; ///< agents that cannot rule out that they own the flow
    std::map<flow::Endpoint, base::Time> mCopiedAt; ///< agents that received a packet
  };

  using Lookups = std::map<flow::FlowKey, Lookup>;

  Actions startRound(base::Time aNow);
  Actions finishRound(base::Time aNow);
  void recordSilence();
  void resolveOwnFlow(base::Time aNow, const flow::FlowKey& aFlow, Lookup& aLookup) const;
  void conclude(base::Time aNow, const flow::FlowKey& aFlow, Actions& aActions);
  void copyToUndecided(base::Time aNow,
                       Lookup& aLookup,
                       const std::vector<flow::Endpoint>& aUndecided,
                       Actions& aActions);
  void sendPacket(const Lookup& aLookup,
                  const flow::Bytes& aPacket,
                  flow::Endpoint aAgent,
                  Actions& aActions) const;
  void erase(Lookups::iterator aLookup);
  bool isDenialComplete(const flow::FlowKey& aFlow, const Lookup& aLookup) const;
  bool isGone(base::Time aNow, const routing::ServiceRoutes& aRoutes, flow::Endpoint aAgent) const;
  std::vector<flow::Endpoint> undecidedAgents(base::Time aNow,
                                              const flow::FlowKey& aFlow,
                                              const Lookup& aLookup) const;
  routing::CandidateServices services(const flow::FlowKey& aFlow) const;
  Action makeReset(base::Time aNow, const flow::FlowKey& aFlow, const Lookup& aLookup) const;

  flow::Endpoint mSelf;
  membership::FailureDetector& mFailureDetector;
  const flow::PacketFormat& mPacketFormat;
  const routing::ServiceTable& mServiceTable;
  OwnershipHook mOwnershipHook;
  Lookups mLookups;
  std::size_t mWaitingPackets = 0;

  std::uint32_t mRound = 0;
  base::Time mRoundStartedAt;
  std::set<flow::FlowKey> mRoundFlows;                           ///< empty between rounds
  std::map<flow::Endpoint, std::vector<flow::FlowKey>> mQueries; ///< unanswered, by agent

  /// Queries that an agent left unanswered in a row.
  struct Silence
  {
    base::Time mSince; ///< time of the first
    std::uint32_t mQueries = 0;
  };

  std::map<flow::Endpoint, Silence> mSilences; ///< by agent
};

} // namespace cornelcross::agent
