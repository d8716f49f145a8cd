#include "config/retained_routes.hpp"

#include <algorithm>
#include <set>

namespace cornelcross::config {

namespace {

/// Bounds the memory of each list. The value allows the removal of all upstreams of the largest
/// service at once.
constexpr std::size_t kMaxRetained = 4096;

/// An upstream and a process started together if the upstream started at most this much earlier.
/// Machines whose power returns at the same time start their processes within one or two seconds,
/// and their clocks differ.
constexpr std::uint64_t kSameStartToleranceMs = 2000;

bool routesTo(const AddressRoute& aRoute, const std::string& aService)
{
  return std::any_of(aRoute.mShares.begin(), aRoute.mShares.end(), [&](const ServiceShare& aShare) {
    return aShare.mService == aService;
  });
}

std::uint64_t millisecondsBetween(base::Time aFrom, base::Time aTo)
{
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(aTo - aFrom).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0));
}

} // namespace

void RetainedRoutes::retain(base::Time aRemovedAt, RemovedUpstream aRemoved)
{
  const bool isRetained =
    std::any_of(mUpstreams.begin(), mUpstreams.end(), [&](const auto& aRetained) {
      return aRetained.mEntry.mUpstream.mIdentity == aRemoved.mUpstream.mIdentity;
    });
  if (!isRetained && mUpstreams.size() < kMaxRetained) {
    aRemoved.mUpstream.mState = UpstreamState::kRemoved;
    mUpstreams.push_back({ std::move(aRemoved), aRemovedAt });
  }
}

void RetainedRoutes::retain(base::Time aRemovedAt, RemovedShare aRemoved)
{
  const bool isRetained = std::any_of(mShares.begin(), mShares.end(), [&](const auto& aRetained) {
    return aRetained.mEntry.mAddress == aRemoved.mAddress &&
           aRetained.mEntry.mService == aRemoved.mService;
  });
  if (!isRetained && mShares.size() < kMaxRetained) {
    mShares.push_back({ std::move(aRemoved), aRemovedAt });
  }
}

void RetainedRoutes::retainUnlisted(base::Time aNow, const Service& aBefore, const Service* aAfter)
{
  std::set<std::uint64_t> listed;
  if (aAfter != nullptr) {
    for (const Upstream& upstream : aAfter->mUpstreams) {
      listed.insert(upstream.mIdentity);
    }
  }
  for (const Upstream& upstream : aBefore.mUpstreams) {
    // Operators remove a leaving upstream when it has no flows left, often to reassign the upstream
    // to another service.
    const bool isDrained = upstream.mState == UpstreamState::kLeaving && !mRetainsLeaving;
    if (!listed.contains(upstream.mIdentity) && !isDrained) {
      retain(aNow, RemovedUpstream{ aBefore.mName, upstream, 0 });
    }
  }
}

void RetainedRoutes::dropListed(const Service& aService)
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
  std::erase_if(mUpstreams, [&](const auto& aRetained) {
    const Upstream& upstream = aRetained.mEntry.mUpstream;
    return identities.contains(upstream.mIdentity) || endpoints.contains(upstream.mAgent) ||
           endpoints.contains(upstream.mAddress);
  });
}

void RetainedRoutes::applyServices(base::Time aNow, const Configuration& aNext)
{
  const auto isShared = [](const Service& aService, const auto& aOthers) {
    const auto other = aOthers.find(aService.mName);
    return other != aOthers.end() &&
           other->second.mUpstreams.sharesElementsWith(aService.mUpstreams);
  };
  for (const auto& [name, before] : mDeclared->mServices) {
    if (!isShared(before, aNext.mServices)) {
      const auto after = aNext.mServices.find(name);
      retainUnlisted(aNow, before, after == aNext.mServices.end() ? nullptr : &after->second);
    }
  }
  for (const auto& [name, after] : aNext.mServices) {
    if (!isShared(after, mDeclared->mServices)) {
      dropListed(after);
    }
  }
}

void RetainedRoutes::dropRestoredShares(const Configuration& aNext)
{
  std::erase_if(mShares, [&](const auto& aRetained) {
    const auto route = aNext.mAddresses.find(aRetained.mEntry.mAddress);
    return route == aNext.mAddresses.end() || routesTo(route->second, aRetained.mEntry.mService);
  });
}

void RetainedRoutes::applyAddresses(base::Time aNow, const Configuration& aNext)
{
  dropRestoredShares(aNext);
  for (const auto& [address, before] : mDeclared->mAddresses) {
    const auto after = aNext.mAddresses.find(address);
    if (after == aNext.mAddresses.end() || after->second == before) {
      continue;
    }
    for (const ServiceShare& share : before.mShares) {
      if (!routesTo(after->second, share.mService)) {
        retain(aNow, RemovedShare{ address, share.mService, 0 });
      }
    }
  }
}

void RetainedRoutes::applyZones(base::Time aNow, const Configuration& aNext)
{
  std::erase_if(mDrainingZones,
                [&](const auto& aEntry) { return aNext.isZoneInService(aEntry.first); });
  for (const auto& [name, zone] : aNext.mZones) {
    if (aNext.isZoneInService(name)) {
      continue;
    }
    // A zone that is out of service in the first configuration does not drain, since the process
    // cannot determine for how long the zone has been out.
    if (!isFirstConfiguration() && mZoneDrainTime > base::Duration::zero() &&
        mDeclared->isZoneInService(name)) {
      mDrainingZones[name] = aNow + mZoneDrainTime;
    }
  }
}

// No flow is older than this process if no upstream started earlier, as after a common loss of
// power and at the first start of the whole system.
bool RetainedRoutes::predatesAllUpstreams(const Configuration& aDeclared) const
{
  std::size_t count = 0;
  for (const auto& [name, service] : aDeclared.mServices) {
    for (const Upstream& upstream : service.mUpstreams) {
      if (upstream.mStartedAtMs + kSameStartToleranceMs < mStartedAtMs) {
        return false;
      }
      ++count;
    }
  }
  return mStartedAtMs != 0 && count > 0;
}

ConfigurationPtr RetainedRoutes::apply(base::Time aNow, ConfigurationPtr aDeclared)
{
  mFirstApplied = mFirstApplied.value_or(aNow);
  applyServices(aNow, *aDeclared);
  applyAddresses(aNow, *aDeclared);
  applyZones(aNow, *aDeclared);
  mDeclared = std::move(aDeclared);
  mIsComplete = mIsComplete || predatesAllUpstreams(*mDeclared);
  return buildActive();
}

ConfigurationPtr RetainedRoutes::merge(base::Time aNow, const RetainedState& aRetainedState)
{
  for (RemovedUpstream removed : aRetainedState.mUpstreams) {
    removed.mUpstream.mIdentity = upstreamIdentity(removed.mService, removed.mUpstream.mName);
    const base::Time since = aNow - std::chrono::milliseconds(removed.mAgeMs);
    retain(since, std::move(removed));
  }
  for (const RemovedShare& removed : aRetainedState.mShares) {
    retain(aNow - std::chrono::milliseconds(removed.mAgeMs), removed);
  }
  for (const auto& [name, service] : mDeclared->mServices) {
    dropListed(service);
  }
  dropRestoredShares(*mDeclared);
  mIsComplete = mIsComplete || aRetainedState.mIsComplete;
  return buildActive();
}

ConfigurationPtr RetainedRoutes::expire(base::Time aNow)
{
  const auto isExpired = [&](const auto& aRetained) {
    return aNow - aRetained.mRemovedAt >= mLifetime;
  };
  const auto erased =
    std::erase_if(mUpstreams, isExpired) + std::erase_if(mShares, isExpired) +
    std::erase_if(mDrainingZones, [&](const auto& aEntry) { return aNow >= aEntry.second; });
  const bool hasRunForLifetime = mFirstApplied && aNow - *mFirstApplied >= mLifetime;
  const bool becomesComplete = hasRunForLifetime && !mIsComplete;
  mIsComplete = mIsComplete || hasRunForLifetime;
  return erased > 0 || becomesComplete ? buildActive() : nullptr;
}

RetainedState RetainedRoutes::retainedState(base::Time aNow) const
{
  RetainedState retainedState;
  retainedState.mIsComplete = mIsComplete;
  for (const auto& retained : mUpstreams) {
    retainedState.mUpstreams.push_back(retained.mEntry);
    retainedState.mUpstreams.back().mAgeMs = millisecondsBetween(retained.mRemovedAt, aNow);
  }
  for (const auto& retained : mShares) {
    retainedState.mShares.push_back(retained.mEntry);
    retainedState.mShares.back().mAgeMs = millisecondsBetween(retained.mRemovedAt, aNow);
  }
  return retainedState;
}

ConfigurationPtr RetainedRoutes::buildActive() const
{
  if (mUpstreams.empty() && mShares.empty() && mDrainingZones.empty() && !mIsComplete) {
    return mDeclared;
  }
  auto active = std::make_shared<Configuration>(*mDeclared);
  active->mIsRetainedStateComplete = mIsComplete;
  for (const auto& [name, until] : mDrainingZones) {
    active->mZones.at(name).mIsDraining = true;
  }
  for (const auto& retained : mUpstreams) {
    const auto service = active->mServices.find(retained.mEntry.mService);
    if (service != active->mServices.end()) {
      service->second.mUpstreams.push_back(retained.mEntry.mUpstream);
    }
  }
  for (const auto& retained : mShares) {
    active->mAddresses.at(retained.mEntry.mAddress)
      .mShares.push_back({ retained.mEntry.mService, 0 });
  }
  return active;
}

} // namespace cornelcross::config
