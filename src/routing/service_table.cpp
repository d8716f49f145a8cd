#include "routing/service_table.hpp"

#include <utility>
#include <vector>

namespace cornelcross::routing {

namespace {

bool isUnchanged(const config::Service& aLeft, const config::Service& aRight)
{
  return aLeft.mAddress == aRight.mAddress &&
         aLeft.mUpstreams.sharesElementsWith(aRight.mUpstreams);
}

/// Services of aConfiguration that are missing from aOther or differ there. The services of both
/// are ordered by name.
std::vector<const config::Service*> findDifferences(const config::Configuration& aConfiguration,
                                                    const config::Configuration& aOther)
{
  std::vector<const config::Service*> services;
  auto other = aOther.mServices.begin();
  for (const auto& [name, service] : aConfiguration.mServices) {
    while (other != aOther.mServices.end() && other->first < name) {
      ++other;
    }
    const bool isKept = other != aOther.mServices.end() && other->first == name &&
                        isUnchanged(service, other->second);
    if (!isKept) {
      services.push_back(&service);
    }
  }
  return services;
}

} // namespace

ServiceTable::ServiceTable(config::ConfigurationPtr aConfiguration)
  : mConfiguration(std::move(aConfiguration))
{
  indexAll();
}

void ServiceTable::apply(config::ConfigurationPtr aConfiguration)
{
  const config::ConfigurationPtr previous =
    std::exchange(mConfiguration, std::move(aConfiguration));
  if (mConfiguration->mZones == previous->mZones &&
      mConfiguration->mAddresses == previous->mAddresses) {
    reindexChanged(*previous);
  } else {
    indexAll();
  }
}

std::shared_ptr<ServiceTable::ServiceEntry> ServiceTable::findOrAddEntry(
  const std::string& aService)
{
  auto& entry = mServiceEntries[aService];
  if (!entry) {
    entry = std::make_shared<ServiceEntry>();
    entry->mName = aService;
  }
  return entry;
}

const ServiceRoutes* ServiceTable::prepareRoutes(ServiceEntry& aEntry) const
{
  if (!aEntry.mRoutes) {
    const auto service = mConfiguration->mServices.find(aEntry.mName);
    if (service == mConfiguration->mServices.end()) {
      return nullptr;
    }
    aEntry.mRoutes.emplace(*mConfiguration, service->second);
  }
  return &*aEntry.mRoutes;
}

void ServiceTable::indexService(const config::Service& aService)
{
  const auto entry = findOrAddEntry(aService.mName);
  if (aService.mAddress != flow::Endpoint{}) {
    mAddressEntries.insert_or_assign(aService.mAddress, AddressEntry{ { { entry, 1 } }, 1 });
  }
}

void ServiceTable::indexAll()
{
  mAddressEntries.clear();
  mServiceEntries.clear();
  indexAddresses();
  for (const auto& [name, service] : mConfiguration->mServices) {
    indexService(service);
  }
}

void ServiceTable::indexAddresses()
{
  for (const auto& [address, route] : mConfiguration->mAddresses) {
    AddressEntry addressEntry;
    for (const config::ServiceShare& share : route.mShares) {
      addressEntry.mShares.push_back({ findOrAddEntry(share.mService), share.mWeight });
      addressEntry.mTotalWeight += share.mWeight;
    }
    mAddressEntries.insert_or_assign(address, std::move(addressEntry));
  }
}

void ServiceTable::reindexChanged(const config::Configuration& aPrevious)
{
  // Removals precede additions, because a service may have taken over the address of another.
  for (const config::Service* service : findDifferences(aPrevious, *mConfiguration)) {
    mAddressEntries.erase(service->mAddress);
    findOrAddEntry(service->mName)->mRoutes.reset();
  }
  for (const config::Service* service : findDifferences(*mConfiguration, aPrevious)) {
    indexService(*service);
  }
}

// Only the flow's hash determines the service, so that every balancer selects the same one. The
// high half of the hash is used, because the ranks of the upstreams depend on the whole hash.
const ServiceRoutes* ServiceTable::selectByWeight(const AddressEntry& aAddressEntry,
                                                  std::uint64_t aFlowHash) const
{
  constexpr unsigned kHalfBits = 32;
  std::uint64_t point = ((aFlowHash >> kHalfBits) * aAddressEntry.mTotalWeight) >> kHalfBits;
  for (const WeightedService& share : aAddressEntry.mShares) {
    if (point < share.mWeight) {
      return prepareRoutes(*share.mService);
    }
    point -= share.mWeight;
  }
  return nullptr;
}

const ServiceRoutes* ServiceTable::selectService(flow::Endpoint aAddress,
                                                 std::uint64_t aFlowHash) const
{
  const auto found = mAddressEntries.find(aAddress);
  return found == mAddressEntries.end() ? nullptr : selectByWeight(found->second, aFlowHash);
}

const ServiceRoutes* ServiceTable::find(const std::string& aService) const
{
  const auto entry = mServiceEntries.find(aService);
  return entry == mServiceEntries.end() ? nullptr : prepareRoutes(*entry->second);
}

void ServiceTable::servicesForEstablishedFlow(flow::Endpoint aAddress,
                                              std::uint64_t aFlowHash,
                                              CandidateServices& aServices) const
{
  const auto found = mAddressEntries.find(aAddress);
  if (found == mAddressEntries.end()) {
    return;
  }
  const auto* chosen = selectByWeight(found->second, aFlowHash);
  if (chosen != nullptr) {
    aServices.push_back(chosen);
  }
  for (const WeightedService& share : found->second.mShares) {
    const auto* routes = prepareRoutes(*share.mService);
    if (routes != nullptr && routes != chosen) {
      aServices.push_back(routes);
    }
  }
}

} // namespace cornelcross::routing
