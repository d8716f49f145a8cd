#include "config/configuration.hpp"

#include <algorithm>

namespace cornelcross::config {

bool Configuration::isZoneInService(const std::string& aZone) const
{
  const auto found = mZones.find(aZone);
  return found == mZones.end() || found->second.mIsInService ||
         !base::safetyMechanisms().mExcludeOutZones;
}

bool Configuration::isZoneDraining(const std::string& aZone) const
{
  const auto found = mZones.find(aZone);
  return found != mZones.end() && found->second.mIsDraining;
}

bool Configuration::serves(const std::string& aService, flow::Endpoint aAddress) const
{
  return hasShare(aService, aAddress, 0);
}

bool Configuration::servesNewFlows(const std::string& aService, flow::Endpoint aAddress) const
{
  return hasShare(aService, aAddress, 1);
}

bool Configuration::hasShare(const std::string& aService,
                             flow::Endpoint aAddress,
                             std::uint32_t aMinWeight) const
{
  const auto service = mServices.find(aService);
  if (service != mServices.end() && service->second.mAddress == aAddress) {
    return true;
  }
  const auto route = mAddresses.find(aAddress);
  return route != mAddresses.end() && std::any_of(route->second.mShares.begin(),
                                                  route->second.mShares.end(),
                                                  [&](const ServiceShare& aShare) {
                                                    return aShare.mService == aService &&
                                                           aShare.mWeight >= aMinWeight;
                                                  });
}

const RequestClass* Configuration::requestClassOf(flow::Endpoint aAddress) const
{
  const auto found = mRequestClasses.find(aAddress);
  return found == mRequestClasses.end() ? nullptr : &found->second;
}

// Prefixes may nest, such as a customer's site within a provider's range. The longest match is
// selected, as in IP routing (RFC 4632, section 5.1).
std::size_t Configuration::workspaceOf(flow::Ipv4Address aAddress) const
{
  std::size_t workspace = 0;
  int longestLength = -1;
  for (std::size_t i = 0; i < mWorkspaces.size(); ++i) {
    for (const Prefix& prefix : mWorkspaces[i].mPrefixes) {
      if (prefix.mLength > longestLength && prefix.contains(aAddress)) {
        longestLength = prefix.mLength;
        workspace = i + 1;
      }
    }
  }
  return workspace;
}

} // namespace cornelcross::config
