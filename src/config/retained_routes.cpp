#include "config/retained_routes.hpp"

#include <algorithm>
#include <set>

namespace cornelcross::config {

namespace {

/// Bound on memory: the largest service of which all upstreams vanish at once.
constexpr std::size_t kMaxRetained = 4096;

bool leadsTo(const AddressRoute& aRoute, const std::string& aService)
{
  return std::any_of(aRoute.mShares.begin(), aRoute.mShares.end(), [&](const ServiceShare& aShare) {
    return aShare.mService == aService;
  });
}

} // namespace

void RetainedRoutes::collect(base::Time aNow, const Service& aBefore, const Service* aAfter)
{
  std::set<std::uint64_t> listed;
  if (aAfter != nullptr) {
    for (const Upstream& upstream : aAfter->mUpstreams) {
      listed.insert(upstream.mIdentity);
    }
  }
  for (const Upstream& upstream : aBefore.mUpstreams) {
    if (!listed.contains(upstream.mIdentity) && mUpstreams.size() < kMaxRetained) {
      mUpstreams.push_back({ aBefore.mName, upstream, aNow });
      mUpstreams.back().mUpstream.mState = UpstreamState::kGone;
    }
  }
}

void RetainedRoutes::forgetListed(const Service& aService)
{
  if (mUpstreams.empty()) {
    return;
  }
  std::set<std::uint64_t> identities;
  std::set<flow::Endpoint> endpoints;
  for (const Upstream& upstream : aService.mUpstreams) {
    identities.insert(upstream.mIdentity);
    endpoints.insert({ upstream.mAgent, upstream.mAddress });
  }
  std::erase_if(mUpstreams, [&](const GoneUpstream& aGone) {
    const Upstream& upstream = aGone.mUpstream;
    return identities.contains(upstream.mIdentity) || endpoints.contains(upstream.mAgent) ||
           endpoints.contains(upstream.mAddress);
  });
}

void RetainedRoutes::applyServices(base::Time aNow, const Configuration& aNext)
{
  const auto isShared = [](const Service& aService, const auto& aOthers) {
    const auto other = aOthers.find(aService.mName);
    return other != aOthers.end() && other->second.mUpstreams.sharesWith(aService.mUpstreams);
  };
  for (const auto& [name, before] : mDeclared->mServices) {
    if (!isShared(before, aNext.mServices)) {
      const auto after = aNext.mServices.find(name);
      collect(aNow, before, after == aNext.mServices.end() ? nullptr : &after->second);
    }
  }
  for (const auto& [name, after] : aNext.mServices) {
    if (!isShared(after, mDeclared->mServices)) {
      forgetListed(after);
    }
  }
}

void RetainedRoutes::applyAddresses(base::Time aNow, const Configuration& aNext)
{
  std::erase_if(mShares, [&](const GoneShare& aGone) {
    const auto route = aNext.mAddresses.find(aGone.mAddress);
    return route == aNext.mAddresses.end() || leadsTo(route->second, aGone.mService);
  });
  for (const auto& [address, before] : mDeclared->mAddresses) {
    const auto after = aNext.mAddresses.find(address);
    if (after == aNext.mAddresses.end() || after->second == before) {
      continue;
    }
    for (const ServiceShare& share : before.mShares) {
      if (!leadsTo(after->second, share.mService) && mShares.size() < kMaxRetained) {
        mShares.push_back({ address, share.mService, aNow });
      }
    }
  }
}

ConfigurationPtr RetainedRoutes::apply(base::Time aNow, ConfigurationPtr aDeclared)
{
  applyServices(aNow, *aDeclared);
  applyAddresses(aNow, *aDeclared);
  mDeclared = std::move(aDeclared);
  return combine();
}

ConfigurationPtr RetainedRoutes::expire(base::Time aNow)
{
  const auto isOver = [&](const auto& aGone) { return aNow - aGone.mSince >= mLifetime; };
  const auto erased = std::erase_if(mUpstreams, isOver) + std::erase_if(mShares, isOver);
  return erased > 0 ? combine() : nullptr;
}

ConfigurationPtr RetainedRoutes::combine() const
{
  if (size() == 0) {
    return mDeclared;
  }
  auto combined = std::make_shared<Configuration>(*mDeclared);
  for (const GoneUpstream& gone : mUpstreams) {
    const auto service = combined->mServices.find(gone.mService);
    if (service != combined->mServices.end()) {
      service->second.mUpstreams.push_back(gone.mUpstream);
    }
  }
  for (const GoneShare& gone : mShares) {
    combined->mAddresses.at(gone.mAddress).mShares.push_back({ gone.mService, 0 });
  }
  return combined;
}

} // namespace cornelcross::config
