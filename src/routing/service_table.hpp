#pragma once

#include "routing/candidates.hpp"

#include <memory>
#include <unordered_map>

namespace cornelcross::routing {

/// @brief Looks services up by the address that callers connect to. A service is prepared when it
/// is first looked up.
class ServiceTable
{
public:
  /// @brief Indexes aConfiguration and keeps it alive.
  explicit ServiceTable(config::ConfigurationPtr aConfiguration);

  /// @brief Goes over to aConfiguration, forgetting only the services that differ.
  /// @note O(n) comparisons of pointers for n services, unless availability zones or addresses
  /// changed
  void apply(config::ConfigurationPtr aConfiguration);

  /// @brief Service to which a new flow with this hash to aAddress goes; nullptr if there is none.
  const ServiceRoutes* selectService(flow::Endpoint aAddress, std::uint64_t aFlowHash = 0) const;

  /// @brief Service with this name; nullptr if there is none.
  const ServiceRoutes* find(const std::string& aService) const;

  /// @brief Services in which an established flow to aAddress may have been opened, the one that
  /// selectService() gives first. @param aServices receives them
  void servicesForEstablishedFlow(flow::Endpoint aAddress,
                                  std::uint64_t aFlowHash,
                                  CandidateServices& aServices) const;

  /// @brief What the table was made from.
  const config::Configuration& configuration() const { return *mConfiguration; }

private:
  /// A service, which no document may describe yet.
  struct Slot
  {
    std::string mName;
    std::optional<ServiceRoutes> mRoutes; ///< empty until it is looked up
  };

  struct Share
  {
    std::shared_ptr<Slot> mSlot;
    std::uint32_t mWeight;
  };

  struct Target
  {
    std::vector<Share> mShares;
    std::uint64_t mTotal = 0; ///< sum of the weights
  };

  void bindAll();
  void rebindChanged(const config::Configuration& aBefore);
  void bind(const config::Service& aService);
  void bindAddresses();
  std::shared_ptr<Slot> slotOf(const std::string& aService);
  const ServiceRoutes* routesOf(Slot& aSlot) const;
  const ServiceRoutes* choose(const Target& aTarget, std::uint64_t aFlowHash) const;

  config::ConfigurationPtr mConfiguration;
  std::unordered_map<std::string, std::shared_ptr<Slot>> mSlots;
  std::unordered_map<flow::Endpoint, Target, flow::EndpointHash> mByAddress;
};

} // namespace cornelcross::routing
