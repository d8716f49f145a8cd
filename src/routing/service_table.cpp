#include "routing/service_table.hpp"

#include <utility>
#include <vector>

namespace cornelcross::routing {

namespace {

bool isSame(const config::Service& aLeft, const config::Service& aRight)
{
  return aLeft.mAddress == aRight.mAddress &&
         aLeft.mUpstreams.sharesElementsWith(aRight.mUpstreams);
}

/// Services of aThese that aOthers lacks or has in another form. Both are ordered by name.
std::vector<const config::Service*> difference(const config::Configuration& aThese,
                                               const config::Configuration& aOthers)
{
  std::vector<const config::Service*> services;
  auto other = aOthers.mServices.begin();
  for (const auto& [name, service] : aThese.mServices) {
    while (other != aOthers.mServices.end() && other->first < name) {
      ++other;
    }
    const bool isKept =
      other != aOthers.mServices.end() && other->first == name && isSame(service, other->second);
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
  bindAll();
}

void ServiceTable::apply(config::ConfigurationPtr aConfiguration)
{
  const config::ConfigurationPtr before = std::exchange(mConfiguration, std::move(aConfiguration));
  if (mConfiguration->mZones == before->mZones &&
      mConfiguration->mAddresses == before->mAddresses) {
    rebindChanged(*before);
  } else {
    bindAll();
  }
}

std::shared_ptr<ServiceTable::Slot> ServiceTable::slotOf(const std::string& aService)
{
  auto& slot = mSlots[aService];
  if (!slot) {
    slot = std::make_shared<Slot>();
    slot->mName = aService;
  }
  return slot;
}

const ServiceRoutes* ServiceTable::routesOf(Slot& aSlot) const
{
  if (!aSlot.mRoutes) {
    const auto service = mConfiguration->mServices.find(aSlot.mName);
    if (service == mConfiguration->mServices.end()) {
      return nullptr;
    }
    aSlot.mRoutes.emplace(*mConfiguration, service->second);
  }
  return &*aSlot.mRoutes;
}

void ServiceTable::bind(const config::Service& aService)
{
  const auto slot = slotOf(aService.mName);
  if (aService.mAddress != flow::Endpoint{}) {
    mByAddress.insert_or_assign(aService.mAddress, Target{ { { slot, 1 } }, 1 });
  }
}

void ServiceTable::bindAll()
{
  mByAddress.clear();
  mSlots.clear();
  bindAddresses();
  for (const auto& [name, service] : mConfiguration->mServices) {
    bind(service);
  }
}

void ServiceTable::bindAddresses()
{
  for (const auto& [address, route] : mConfiguration->mAddresses) {
    Target target;
    for (const config::ServiceShare& share : route.mShares) {
      target.mShares.push_back({ slotOf(share.mService), share.mWeight });
      target.mTotal += share.mWeight;
    }
    mByAddress.insert_or_assign(address, std::move(target));
  }
}

void ServiceTable::rebindChanged(const config::Configuration& aBefore)
{
  // All that is gone goes first: a service may have taken over the address of another.
  for (const config::Service* service : difference(aBefore, *mConfiguration)) {
    mByAddress.erase(service->mAddress);
    slotOf(service->mName)->mRoutes.reset();
  }
  for (const config::Service* service : difference(*mConfiguration, aBefore)) {
    bind(*service);
  }
}

// The share is chosen by the flow's hash alone, so that every balancer chooses the same one. The
// high half is used: the ranks of the upstreams come from the whole hash.
const ServiceRoutes* ServiceTable::choose(const Target& aTarget, std::uint64_t aFlowHash) const
{
  constexpr unsigned kHalf = 32;
  std::uint64_t point = ((aFlowHash >> kHalf) * aTarget.mTotal) >> kHalf;
  for (const Share& share : aTarget.mShares) {
    if (point < share.mWeight) {
      return routesOf(*share.mSlot);
    }
    point -= share.mWeight;
  }
  return nullptr;
}

const ServiceRoutes* ServiceTable::selectService(flow::Endpoint aAddress,
                                                 std::uint64_t aFlowHash) const
{
  const auto found = mByAddress.find(aAddress);
  return found == mByAddress.end() ? nullptr : choose(found->second, aFlowHash);
}

const ServiceRoutes* ServiceTable::find(const std::string& aService) const
{
  const auto slot = mSlots.find(aService);
  return slot == mSlots.end() ? nullptr : routesOf(*slot->second);
}

void ServiceTable::servicesForEstablishedFlow(flow::Endpoint aAddress,
                                              std::uint64_t aFlowHash,
                                              CandidateServices& aServices) const
{
  const auto found = mByAddress.find(aAddress);
  if (found == mByAddress.end()) {
    return;
  }
  const auto* chosen = choose(found->second, aFlowHash);
  if (chosen != nullptr) {
    aServices.push_back(chosen);
  }
  for (const Share& share : found->second.mShares) {
    const auto* routes = routesOf(*share.mSlot);
    if (routes != nullptr && routes != chosen) {
      aServices.push_back(routes);
    }
  }
}

} // namespace cornelcross::routing
