#include "routing/service_table.hpp"

#include <utility>
#include <vector>

namespace cornelcross::routing {

namespace {

bool isSame(const config::Service& aLeft, const config::Service& aRight)
{
  return aLeft.mAddress == aRight.mAddress && aLeft.mUpstreams.sharesWith(aRight.mUpstreams);
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
  prepareAll();
}

void ServiceTable::apply(config::ConfigurationPtr aConfiguration)
{
  const config::ConfigurationPtr before = std::exchange(mConfiguration, std::move(aConfiguration));
  if (mConfiguration->mZones == before->mZones) {
    prepareChanged(*before);
  } else {
    prepareAll();
  }
}

void ServiceTable::prepareAll()
{
  mByAddress.clear();
  for (const auto& [name, service] : mConfiguration->mServices) {
    mByAddress.emplace(service.mAddress, ServiceRoutes(*mConfiguration, service));
  }
}

void ServiceTable::prepareChanged(const config::Configuration& aBefore)
{
  // All that is gone goes first: a service may have taken over the address of another.
  for (const config::Service* service : difference(aBefore, *mConfiguration)) {
    mByAddress.erase(service->mAddress);
  }
  for (const config::Service* service : difference(*mConfiguration, aBefore)) {
    mByAddress.insert_or_assign(service->mAddress, ServiceRoutes(*mConfiguration, *service));
  }
}

const ServiceRoutes* ServiceTable::find(flow::Endpoint aAddress) const
{
  const auto found = mByAddress.find(aAddress);
  return found == mByAddress.end() ? nullptr : &found->second;
}

} // namespace cornelcross::routing
