#include "config/endpoint_index.hpp"

namespace cornelcross::config {

void EndpointIndex::store(const Service& aService)
{
  erase(aService.mName);
  ServiceEndpoints endpoints{ aService.mAddress, {} };
  if (aService.mAddress != flow::Endpoint{}) {
    mServiceByAddress.insert_or_assign(aService.mAddress, aService.mName);
  }
  for (const Upstream& upstream : aService.mUpstreams) {
    for (const flow::Endpoint endpoint : { upstream.mAgent, upstream.mAddress }) {
      endpoints.mUpstreamEndpoints.push_back(endpoint);
      mServiceByUpstreamEndpoint.insert_or_assign(endpoint, aService.mName);
    }
  }
  mEndpointsByService.insert_or_assign(aService.mName, std::move(endpoints));
}

void EndpointIndex::erase(const std::string& aService)
{
  const auto found = mEndpointsByService.find(aService);
  if (found == mEndpointsByService.end()) {
    return;
  }
  if (found->second.mAddress != flow::Endpoint{}) {
    mServiceByAddress.erase(found->second.mAddress);
  }
  for (const flow::Endpoint endpoint : found->second.mUpstreamEndpoints) {
    mServiceByUpstreamEndpoint.erase(endpoint);
  }
  mEndpointsByService.erase(found);
}

const std::string* EndpointIndex::serviceWithAddress(flow::Endpoint aAddress) const
{
  return findService(mServiceByAddress, aAddress);
}

const std::string* EndpointIndex::serviceWithEndpoint(flow::Endpoint aEndpoint) const
{
  return findService(mServiceByUpstreamEndpoint, aEndpoint);
}

const std::string* EndpointIndex::findService(const ServiceByEndpoint& aServices,
                                              flow::Endpoint aEndpoint)
{
  const auto found = aServices.find(aEndpoint);
  return found == aServices.end() ? nullptr : &found->second;
}

} // namespace cornelcross::config
