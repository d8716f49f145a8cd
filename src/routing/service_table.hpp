#pragma once

#include "routing/service_routes.hpp"

#include <memory>
#include <unordered_map>

namespace cornelcross::routing {

/// @brief Looks services up by the address that callers connect to.
class ServiceTable
{
public:
  /// @brief Indexes aConfiguration and keeps it alive.
  explicit ServiceTable(config::ConfigurationPtr aConfiguration);

  /// @brief Goes over to aConfiguration, preparing anew only the services that differ.
  /// @note O(n) comparisons of pointers for n services, unless availability zones or addresses
  /// changed
  void apply(config::ConfigurationPtr aConfiguration);

  /// @brief Service to which a new flow with this hash to aAddress goes; nullptr if there is none.
  const ServiceRoutes* find(flow::Endpoint aAddress, std::uint64_t aFlowHash = 0) const;

  /// @brief Adds the other services behind aAddress, in which an earlier flow may have been opened,
  /// to aOthers. @param aChosen what find() gave
  void others(flow::Endpoint aAddress,
              const ServiceRoutes* aChosen,
              std::vector<const ServiceRoutes*>& aOthers) const;

  /// @brief What the table was made from.
  const config::Configuration& configuration() const { return *mConfiguration; }

private:
  /// Routes of a service; empty while no document describes it.
  struct Slot
  {
    std::optional<ServiceRoutes> mRoutes;
  };

  struct Share
  {
    std::shared_ptr<const Slot> mSlot;
    std::uint32_t mWeight;
  };

  struct Target
  {
    std::vector<Share> mShares;
    std::uint64_t mTotal = 0; ///< sum of the weights
  };

  void prepareAll();
  void prepareChanged(const config::Configuration& aBefore);
  void prepare(const config::Service& aService);
  void bindAddresses();
  std::shared_ptr<Slot> slotOf(const std::string& aService);

  config::ConfigurationPtr mConfiguration;
  std::unordered_map<std::string, std::shared_ptr<Slot>> mSlots;
  std::unordered_map<flow::Endpoint, Target, flow::EndpointHash> mByAddress;
};

} // namespace cornelcross::routing
