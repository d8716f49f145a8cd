#pragma once

#include "agent/actions.hpp"
#include "agent/lookup_queries.hpp"
#include "flow/packet_format.hpp"
#include "membership/failure_detector.hpp"
#include "routing/service_table.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace cornelcross::agent {

/// @brief Finds the owners of flows by asking all agents that may own them at once.
///
/// Lookups are answered in rounds: one round asks each agent about all flows that wait, in one
/// message. The messages per second therefore do not depend on the number of flows, and a lookup
/// takes one round trip however many upstreams a service has. The packets of a flow wait here until
/// the owner is found, or until every agent has denied the flow, which is then reset. Agents of
/// availability zones out of service are asked too, but get no packet.
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
  /// @param aFirstRound      number that differs between instances of this agent, so that a late
  ///                         reply to an earlier instance is not taken for a reply to this one
  OwnerLookups(flow::Endpoint aSelf,
               membership::FailureDetector& aFailureDetector,
               const flow::PacketFormat& aPacketFormat,
               const routing::ServiceTable& aServiceTable,
               OwnershipHook aOwnershipHook,
               std::uint32_t aFirstRound = 0);

  /// @brief Starts a lookup of the owner of a packet's flow, or adds the packet to the flow's
  /// lookup. Drops the packet if too many packets wait.
  Actions start(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward);

  /// @brief Handles the reply of an agent. A reply that answers no pending query is ignored.
  /// @param aRevision revision of the agent's configuration
  Actions onReply(base::Time aNow,
                  flow::Endpoint aFrom,
                  std::uint64_t aRevision,
                  const wire::OwnerLookupReply& aReply);

  /// @brief Ends rounds without further replies and starts due ones. Called about every 25 ms
  /// while size() is above 0.
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

    /// Digest of the list of upstreams that all processes on the newest packet's path had; empty if
    /// their lists differed.
    std::optional<std::uint64_t> mListedDigest;

    std::uint64_t mNewestRevision = 0;  ///< highest revision of the agents that replied
    std::set<flow::Endpoint> mDeniedBy; ///< agents whose upstream does not have the flow
    std::optional<flow::Endpoint> mOwnerOutOfService; ///< owner in a zone out of service
    /// Agents that cannot rule out that they own the flow and would deliver its packets, with the
    /// time of the statement.
    std::map<flow::Endpoint, base::Time> mDeliverableAt;

    std::map<flow::Endpoint, base::Time> mCopiedAt; ///< agents that received a packet
    std::optional<base::Time> mTriedAt;             ///< a single likely owner got a packet
  };

  using Lookups = std::map<flow::FlowKey, Lookup>;

  Actions startRound(base::Time aNow);
  Actions finishRound(base::Time aNow);
  bool resolveOwnFlow(base::Time aNow, const flow::FlowKey& aFlow, Actions& aActions);
  void deliverToOwner(Lookups::iterator aLookup, flow::Endpoint aOwner, Actions& aActions);
  bool recordOwner(Lookups::iterator aLookup, flow::Endpoint aOwner, Actions& aActions);
  void conclude(base::Time aNow, const flow::FlowKey& aFlow, Actions& aActions);
  void recordOwnership(base::Time aNow,
                       Lookup& aLookup,
                       flow::Endpoint aAgent,
                       wire::FlowOwnership aOwnership);
  static bool isCopyPending(base::Time aNow,
                            const Lookup& aLookup,
                            const std::vector<flow::Endpoint>& aUndecided);
  bool willOwnerGetCopy(base::Time aNow,
                        const Lookup& aLookup,
                        const std::vector<flow::Endpoint>& aUndecided) const;
  void copyToUndecided(base::Time aNow,
                       Lookup& aLookup,
                       const std::vector<flow::Endpoint>& aUndecided,
                       Actions& aActions) const;
  void tryLikelyOwner(base::Time aNow,
                      Lookup& aLookup,
                      const wire::Forward& aForward,
                      Actions& aActions) const;
  void sendCopy(base::Time aNow, Lookup& aLookup, flow::Endpoint aAgent, Actions& aActions) const;
  void sendPacket(const Lookup& aLookup,
                  const flow::Bytes& aPacket,
                  flow::Endpoint aAgent,
                  Actions& aActions) const;
  void erase(Lookups::iterator aLookup);
  bool isDenialComplete(const flow::FlowKey& aFlow, const Lookup& aLookup) const;
  std::vector<flow::Endpoint> undecidedOutOfService(base::Time aNow,
                                                    const flow::FlowKey& aFlow,
                                                    const Lookup& aLookup) const;
  const flow::Endpoint* ownerOutOfService(base::Time aNow, const flow::FlowKey& aFlow) const;
  bool isOutOfService(const flow::FlowKey& aFlow, flow::Endpoint aAgent) const;
  void storeOwnerOutOfService(base::Time aNow, const flow::FlowKey& aFlow, flow::Endpoint aOwner);
  bool isGone(base::Time aNow, const routing::ServiceRoutes& aRoutes, flow::Endpoint aAgent) const;
  std::vector<flow::Endpoint> undecidedAgents(base::Time aNow,
                                              const flow::FlowKey& aFlow,
                                              const Lookup& aLookup) const;
  routing::CandidateServices services(const flow::FlowKey& aFlow) const;
  Action makeReset(base::Time aNow, const flow::FlowKey& aFlow, const Lookup& aLookup) const;
  Action makeNotFound(base::Time aNow, const flow::FlowKey& aFlow, const Lookup& aLookup) const;

  flow::Endpoint mSelf;
  membership::FailureDetector& mFailureDetector;
  const flow::PacketFormat& mPacketFormat;
  const routing::ServiceTable& mServiceTable;
  OwnershipHook mOwnershipHook;
  Lookups mLookups;
  std::size_t mWaitingPackets = 0;

  std::set<flow::FlowKey> mRoundFlows; ///< empty between rounds
  LookupQueries mQueries;

  /// Owner of a flow in an availability zone out of service.
  struct OwnerOutOfService
  {
    flow::Endpoint mAgent;
    base::Time mUntil;
  };

  std::map<flow::FlowKey, OwnerOutOfService> mOwnersOutOfService;
};

} // namespace cornelcross::agent
