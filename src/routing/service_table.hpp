#pragma once

#include "routing/candidates.hpp"

#include <memory>
#include <unordered_map>

namespace cornelcross::routing {

/// @brief Index of the services by name and by the address that callers connect to. The
/// ServiceRoutes of a service are built at its first lookup.
class ServiceTable
{
public:
  /// @brief Indexes aConfiguration, of which the table shares ownership.
  explicit ServiceTable(config::ConfigurationPtr aConfiguration);

  /// @brief Replaces the configuration and drops the ServiceRoutes of the services that differ, or
  /// of all services if availability zones or addresses changed.
  /// @note O(n) pointer comparisons for n services, unless availability zones or addresses changed
  void apply(config::ConfigurationPtr aConfiguration);

  /// @brief Service that receives a new flow with hash aFlowHash to aAddress; nullptr if there is
  /// none.
  const ServiceRoutes* selectService(flow::Endpoint aAddress, std::uint64_t aFlowHash = 0) const;

  /// @brief Service with name aService; nullptr if there is none.
  const ServiceRoutes* find(const std::string& aService) const;

  /// @brief Appends the services that may own an established flow to aAddress to aServices,
  /// starting with the service that selectService() returns.
  void servicesForEstablishedFlow(flow::Endpoint aAddress,
                                  std::uint64_t aFlowHash,
                                  CandidateServices& aServices) const;

  /// @brief The indexed configuration.
  const config::Configuration& configuration() const { return *mConfiguration; }

private:
  /// A service by name; an address may refer to a service that no document describes yet.
  struct ServiceEntry
  {
    std::string mName;
    std::optional<ServiceRoutes> mRoutes; ///< built at the first lookup
  };

  /// One of the services among which an address distributes new flows.
  struct WeightedService
  {
    std::shared_ptr<ServiceEntry> mService;
    std::uint32_t mWeight;
  };

  struct AddressEntry
  {
    std::vector<WeightedService> mShares;
    std::uint64_t mTotalWeight = 0; ///< sum of the weights
  };

  void indexAll();
  void reindexChanged(const config::Configuration& aPrevious);
  void indexService(const config::Service& aService);
  void indexAddresses();
  std::shared_ptr<ServiceEntry> findOrAddEntry(const std::string& aService);
  const ServiceRoutes* prepareRoutes(ServiceEntry& aEntry) const;
  const ServiceRoutes* selectByWeight(const AddressEntry& aAddressEntry,
                                      std::uint64_t aFlowHash) const;

  config::ConfigurationPtr mConfiguration;
  std::unordered_map<std::string, std::shared_ptr<ServiceEntry>> mServiceEntries;
  std::unordered_map<flow::Endpoint, AddressEntry, flow::EndpointHash> mAddressEntries;
};

} // namespace cornelcross::routing
