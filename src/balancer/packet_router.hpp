#pragma once

#include "balancer/actions.hpp"
#include "balancer/hedge_policy.hpp"
#include "balancer/recent_openings.hpp"
#include "base/time.hpp"
#include "flow/packet_format.hpp"
#include "membership/failure_detector.hpp"
#include "routing/owner_cache.hpp"
#include "routing/service_table.hpp"
#include "wire/owner_update.hpp"

#include <map>

/// @brief The balancer, which forwards each packet of a caller to the agents that may own its flow.
namespace cornelcross::balancer {

/// @brief Selects the agents for each packet of a caller, based on the packet, the configuration,
/// the owner cache and the failure detector. Deterministic: uses no clock, socket, thread or random
/// source.
class PacketRouter
{
public:
  /// @param aSelf               endpoint to which agents send owner updates
  /// @param aOwnerCacheCapacity maximum number of cached flow owners of each generation
  /// @param aPacketFormat       layout of callers' packets
  /// @param aCanSendResets      this process can send RST segments to callers
  /// @param aPreferredZone      availability zone whose agents new flows visit first, or empty
  /// @param aHedgeSettings      limits on hedged connection attempts
  PacketRouter(flow::Endpoint aSelf,
               std::size_t aOwnerCacheCapacity,
               flow::PacketFormat aPacketFormat = flow::ipv4Format(),
               bool aCanSendResets = false,
               std::string aPreferredZone = {},
               const HedgeSettings& aHedgeSettings = {});

  /// @brief Activates a configuration. Ignores a configuration with a lower revision than the
  /// active one.
  void apply(config::ConfigurationPtr aConfiguration);

  /// @brief Selects the action for one IP packet from the fabric.
  Action route(base::Time aNow, std::span<const std::byte> aPacket);

  /// @brief Copies of SYNs for a second agent each, because no agent has admitted them within the
  /// delay of their service. Called about every 10 ms if hedged attempts are enabled.
  std::vector<SendForward> hedgedAttempts(base::Time aNow);

  /// @brief Decisions about hedged attempts.
  const HedgePolicy& hedgePolicy() const { return mHedgePolicy; }

  /// @brief Number of hedged attempts that the second agent admitted first.
  std::uint64_t hedgesWon() const { return mHedgesWon; }

  /// @brief Number of hedged attempts that another agent admitted first.
  std::uint64_t hedgesLost() const { return mHedgesLost; }

  /// @brief Stores the owner of a flow in the owner cache. The update is also a sign of life of the
  /// owner.
  void onOwnerUpdate(base::Time aNow, const wire::OwnerUpdate& aUpdate);

  /// @brief Failure detector of the agents.
  membership::FailureDetector& failureDetector() { return mFailureDetector; }

  /// @brief Failure detector of the agents.
  const membership::FailureDetector& failureDetector() const { return mFailureDetector; }

  /// @brief Number of flows in the owner cache.
  std::size_t cachedOwnerCount() const { return mOwnerCache.size(); }

  /// @brief Active configuration.
  const config::Configuration& configuration() const { return mServiceTable.configuration(); }

  /// @brief Revision of the active configuration.
  std::uint64_t revision() const { return mServiceTable.configuration().mRevision; }

private:
  wire::Forward makeForward(base::Time aNow, const flow::TcpPacket& aPacket);
  void addOwnerCandidates(base::Time aNow, const flow::FlowKey& aFlow, wire::Forward& aForward);
  void moveSuspectsLast(base::Time aNow, std::vector<flow::Endpoint>& aCandidates);
  const flow::Endpoint* cachedOwner(const flow::FlowKey& aFlow);
  void movePreferredZoneFirst(std::vector<flow::Endpoint>& aCandidates) const;
  void moveCachedOwnerFirst(const flow::FlowKey& aFlow, std::vector<flow::Endpoint>& aCandidates);
  void moveTriedLast(base::Time aNow,
                     const flow::TcpPacket& aPacket,
                     std::vector<flow::Endpoint>& aCandidates);
  void recordLate(const flow::FlowKey& aFlow, std::uint64_t aService);
  void recordOpening(base::Time aNow,
                     const flow::TcpPacket& aPacket,
                     std::span<const std::byte> aBytes,
                     flow::Endpoint aAgent);
  std::optional<SendForward> makeHedge(base::Time aNow, const flow::Bytes& aPacket);
  std::optional<flow::Endpoint> selectHedgeAgent(base::Time aNow,
                                                 const flow::FlowKey& aFlow,
                                                 const std::vector<flow::Endpoint>& aTried);
  Action refuse(const flow::TcpPacket& aPacket, DropReason aReason) const;
  bool acceptsPackets(flow::Endpoint aAgent) const;

  flow::Endpoint mSelf;
  flow::PacketFormat mPacketFormat;
  bool mCanSendResets;
  std::string mPreferredZone;
  routing::ServiceTable mServiceTable;
  routing::CandidateServices mCandidateServices; ///< services for the current packet
  routing::OwnerCache mOwnerCache;
  membership::FailureDetector mFailureDetector;
  RecentOpenings mOpenings;
  HedgePolicy mHedgePolicy;
  std::multimap<base::Time, flow::Bytes> mPendingHedges; ///< SYNs by the end of their delay
  std::uint64_t mHedgesWon = 0;
  std::uint64_t mHedgesLost = 0;
};

} // namespace cornelcross::balancer
