#include "config/endpoint_index.hpp"

namespace cornelcross::config {

void EndpointIndex::store(const Service& aService)
{
  erase(aService.mName);
  Used used{ aService.mAddress, {} };
  if (aService.mAddress != flow::Endpoint{}) {
    mByAddress.insert_or_assign(aService.mAddress, aService.mName);
  }
  for (const Upstream& upstream : aService.mUpstreams) {
    for (const flow::Endpoint endpoint : { upstream.mAgent, upstream.mAddress }) {
      used.mListed.push_back(endpoint);
      mByListed.insert_or_assign(endpoint, aService.mName);
    }
  }
  mUsed.insert_or_assign(aService.mName, std::move(used));
}

void EndpointIndex::erase(const std::string& aService)
{
  const auto found = mUsed.find(aService);
  if (found == mUsed.end()) {
    return;
  }
  if (found->second.mAddress != flow::Endpoint{}) {
    mByAddress.erase(found->second.mAddress);
  }
  for (const flow::Endpoint endpoint : found->second.mListed) {
    mByListed.erase(endpoint);
  }
  mUsed.erase(found);
}

const std::string* EndpointIndex::serviceAt(flow::Endpoint aAddress) const
{
  return find(mByAddress, aAddress);
}

const std::string* EndpointIndex::listedBy(flow::Endpoint aEndpoint) const
{
  return find(mByListed, aEndpoint);
}

const std::string* EndpointIndex::find(const Owners& aOwners, flow::Endpoint aEndpoint)
{
  const auto found = aOwners.find(aEndpoint);
  return found == aOwners.end() ? nullptr : &found->second;
}

} // namespace cornelcross::config
