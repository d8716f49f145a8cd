#include "config/retained_routes.hpp"

#include <algorithm>
#include <set>

namespace cornelcross::config {

namespace {

/// Bound on memory: the largest service of which all upstreams vanish at once.
constexpr std::size_t kMaxRetained = 4096;

/// An upstream that started so much before a process has started with it: machines that get power
/// back at once start their processes within a second or two, and clocks differ.
constexpr std::uint64_t kSameStartMs = 2000;

/// In which every balancer that is in touch has heard that a zone was taken out (4 s at most), and
/// the start-up of this process, by which its wall clock is read too early.
constexpr std::uint64_t kZoneNewsMs = 6000;

bool leadsTo(const AddressRoute& aRoute, const std::string& aService)
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

void RetainedRoutes::add(base::Time aSince, RemovedUpstream aGone)
{
  const bool isKnown = std::any_of(mUpstreams.begin(), mUpstreams.end(), [&](const auto& aKept) {
    return aKept.mEntry.mUpstream.mIdentity == aGone.mUpstream.mIdentity;
  });
  if (!isKnown && mUpstreams.size() < kMaxRetained) {
    aGone.mUpstream.mState = UpstreamState::kRemoved;
    mUpstreams.push_back({ std::move(aGone), aSince });
  }
}

void RetainedRoutes::add(base::Time aSince, RemovedShare aGone)
{
  const bool isKnown = std::any_of(mShares.begin(), mShares.end(), [&](const auto& aKept) {
    return aKept.mEntry.mAddress == aGone.mAddress && aKept.mEntry.mService == aGone.mService;
  });
  if (!isKnown && mShares.size() < kMaxRetained) {
    mShares.push_back({ std::move(aGone), aSince });
  }
}

void RetainedRoutes::collect(base::Time aNow, const Service& aBefore, const Service* aAfter)
{
  std::set<std::uint64_t> listed;
  if (aAfter != nullptr) {
    for (const Upstream& upstream : aAfter->mUpstreams) {
      listed.insert(upstream.mIdentity);
    }
  }
  for (const Upstream& upstream : aBefore.mUpstreams) {
    // Operators remove an upstream that is leaving once it is empty, often to give it to another
    // service.
    const bool isEmptied = upstream.mState == UpstreamState::kLeaving && !mRetainsLeaving;
    if (!listed.contains(upstream.mIdentity) && !isEmptied) {
      add(aNow, RemovedUpstream{ aBefore.mName, upstream, 0 });
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
  std::erase_if(mUpstreams, [&](const auto& aKept) {
    const Upstream& upstream = aKept.mEntry.mUpstream;
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
      collect(aNow, before, after == aNext.mServices.end() ? nullptr : &after->second);
    }
  }
  for (const auto& [name, after] : aNext.mServices) {
    if (!isShared(after, mDeclared->mServices)) {
      forgetListed(after);
    }
  }
}

void RetainedRoutes::forgetShares(const Configuration& aNext)
{
  std::erase_if(mShares, [&](const auto& aKept) {
    const auto route = aNext.mAddresses.find(aKept.mEntry.mAddress);
    return route == aNext.mAddresses.end() || leadsTo(route->second, aKept.mEntry.mService);
  });
}

void RetainedRoutes::applyAddresses(base::Time aNow, const Configuration& aNext)
{
  forgetShares(aNext);
  for (const auto& [address, before] : mDeclared->mAddresses) {
    const auto after = aNext.mAddresses.find(address);
    if (after == aNext.mAddresses.end() || after->second == before) {
      continue;
    }
    for (const ServiceShare& share : before.mShares) {
      if (!leadsTo(after->second, share.mService)) {
        add(aNow, RemovedShare{ address, share.mService, 0 });
      }
    }
  }
}

void RetainedRoutes::applyZones(base::Time aNow, const Configuration& aNext)
{
  std::erase_if(mDrainingZones,
                [&](const auto& aEntry) { return aNext.isZoneInService(aEntry.first); });
  std::erase_if(mZonesOutSince,
                [&](const auto& aEntry) { return aNext.isZoneInService(aEntry.first); });
  for (const auto& [name, zone] : aNext.mZones) {
    if (aNext.isZoneInService(name)) {
      continue;
    }
    mZonesOutSince.try_emplace(name, outSince(aNow));
    // A process that starts can't tell for how long a zone has been out.
    if (!isFirst() && mZoneDrainTime > base::Duration::zero() && mDeclared->isZoneInService(name)) {
      mDrainingZones[name] = aNow + mZoneDrainTime;
    }
  }
}

// All machines that get power back find a zone out that no balancer has sent a new flow to since. A
// process that starts alone can't know that of the others, but they are told within the same time.
std::uint64_t RetainedRoutes::outSince(base::Time aNow) const
{
  if (mStartedAtMs == 0) {
    return 0;
  }
  return isFirst() ? mStartedAtMs - std::min(mStartedAtMs, kSameStartMs)
                   : mStartedAtMs + millisecondsBetween(*mFirstApplied, aNow) + kZoneNewsMs;
}

// After a loss of power, as at the first start of all, no flow is older than the processes.
bool RetainedRoutes::wasFirst(const Configuration& aDeclared) const
{
  std::size_t count = 0;
  for (const auto& [name, service] : aDeclared.mServices) {
    for (const Upstream& upstream : service.mUpstreams) {
      if (upstream.mStartedAtMs + kSameStartMs < mStartedAtMs) {
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
  mIsComplete = mIsComplete || wasFirst(*mDeclared);
  return combine();
}

ConfigurationPtr RetainedRoutes::merge(base::Time aNow, const RetainedState& aRetainedState)
{
  for (RemovedUpstream gone : aRetainedState.mUpstreams) {
    gone.mUpstream.mIdentity = upstreamIdentity(gone.mService, gone.mUpstream.mName);
    const base::Time since = aNow - std::chrono::milliseconds(gone.mAgeMs);
    add(since, std::move(gone));
  }
  for (const RemovedShare& gone : aRetainedState.mShares) {
    add(aNow - std::chrono::milliseconds(gone.mAgeMs), gone);
  }
  for (const auto& [name, service] : mDeclared->mServices) {
    forgetListed(service);
  }
  forgetShares(*mDeclared);
  mIsComplete = mIsComplete || aRetainedState.mIsComplete;
  return combine();
}

ConfigurationPtr RetainedRoutes::expire(base::Time aNow)
{
  const auto isOver = [&](const auto& aKept) { return aNow - aKept.mSince >= mLifetime; };
  const auto erased =
    std::erase_if(mUpstreams, isOver) + std::erase_if(mShares, isOver) +
    std::erase_if(mDrainingZones, [&](const auto& aEntry) { return aNow >= aEntry.second; });
  const bool isOld = mFirstApplied && aNow - *mFirstApplied >= mLifetime;
  const bool becomesComplete = isOld && !mIsComplete;
  mIsComplete = mIsComplete || isOld;
  return erased > 0 || becomesComplete ? combine() : nullptr;
}

RetainedState RetainedRoutes::retainedState(base::Time aNow) const
{
  RetainedState retainedState;
  retainedState.mIsComplete = mIsComplete;
  for (const auto& kept : mUpstreams) {
    retainedState.mUpstreams.push_back(kept.mEntry);
    retainedState.mUpstreams.back().mAgeMs = millisecondsBetween(kept.mSince, aNow);
  }
  for (const auto& kept : mShares) {
    retainedState.mShares.push_back(kept.mEntry);
    retainedState.mShares.back().mAgeMs = millisecondsBetween(kept.mSince, aNow);
  }
  return retainedState;
}

ConfigurationPtr RetainedRoutes::combine() const
{
  const bool hasZones = !mDrainingZones.empty() || !mZonesOutSince.empty();
  if (mUpstreams.empty() && mShares.empty() && !hasZones && !mIsComplete) {
    return mDeclared;
  }
  auto combined = std::make_shared<Configuration>(*mDeclared);
  combined->mIsRetainedStateComplete = mIsComplete;
  for (const auto& [name, until] : mDrainingZones) {
    combined->mZones.at(name).mIsDraining = true;
  }
  for (const auto& [name, since] : mZonesOutSince) {
    combined->mZones.at(name).mOutSinceMs = since;
  }
  for (const auto& kept : mUpstreams) {
    const auto service = combined->mServices.find(kept.mEntry.mService);
    if (service != combined->mServices.end()) {
      service->second.mUpstreams.push_back(kept.mEntry.mUpstream);
    }
  }
  for (const auto& kept : mShares) {
    combined->mAddresses.at(kept.mEntry.mAddress).mShares.push_back({ kept.mEntry.mService, 0 });
  }
  return combined;
}

} // namespace cornelcross::config
