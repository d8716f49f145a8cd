#include "tools/check/differences.hpp"

#include "config/document_key.hpp"
#include "config/retained_routes.hpp"
#include "tools/check/describe.hpp"

#include <algorithm>
#include <set>

namespace cornelcross::tools::check {

namespace {

using config::Configuration;
using config::ConfigurationPtr;
using config::Service;
using config::Upstream;

using UpstreamsByName = std::map<std::string, const Upstream*>;

UpstreamsByName upstreamsByName(const Service& aService)
{
  UpstreamsByName upstreams;
  for (const Upstream& upstream : aService.mUpstreams) {
    upstreams.emplace(upstream.mName, &upstream);
  }
  return upstreams;
}

/// Element of a map, or nullptr.
template<class Map>
const typename Map::mapped_type* findIn(const Map& aMap, const typename Map::key_type& aKey)
{
  const auto found = aMap.find(aKey);
  return found == aMap.end() ? nullptr : &found->second;
}

template<class Map>
std::set<typename Map::key_type> keysOf(const Map& aLeft, const Map& aRight)
{
  std::set<typename Map::key_type> keys;
  for (const Map* map : { &aLeft, &aRight }) {
    for (const auto& [key, value] : *map) {
      keys.insert(key);
    }
  }
  return keys;
}

/// Addresses that lead to each service.
std::map<std::string, std::set<flow::Endpoint>> addressesByService(const Configuration& aConfig)
{
  std::map<std::string, std::set<flow::Endpoint>> addresses;
  for (const auto& [name, service] : aConfig.mServices) {
    auto& own = addresses[name];
    if (service.mAddress != flow::Endpoint{}) {
      own.insert(service.mAddress);
    }
  }
  for (const auto& [address, route] : aConfig.mAddresses) {
    for (const config::ServiceShare& share : route.mShares) {
      addresses[share.mService].insert(address);
    }
  }
  return addresses;
}

std::map<flow::Endpoint, std::set<std::string>> servicesByAddress(const Configuration& aConfig)
{
  std::map<flow::Endpoint, std::set<std::string>> services;
  for (const auto& [address, route] : aConfig.mAddresses) {
    services[address];
  }
  for (const auto& [name, addresses] : addressesByService(aConfig)) {
    for (const flow::Endpoint& address : addresses) {
      services[address].insert(name);
    }
  }
  return services;
}

template<class Names>
std::string join(const Names& aNames)
{
  std::string text;
  for (const auto& name : aNames) {
    text += text.empty() ? "" : ", ";
    if constexpr (std::is_same_v<typename Names::value_type, flow::Endpoint>) {
      text += name.toString();
    } else {
      text += name;
    }
  }
  return text.empty() ? "none" : text;
}

/// Compares two configurations and collects the differences.
class Comparison
{
public:
  Comparison(const Configuration& aBefore, const Configuration& aAfter)
    : mBefore(aBefore), mAfter(aAfter), mActive(activate(aBefore, aAfter))
  {
  }

  std::vector<Difference> run() &&
  {
    compareAddresses();
    compareServiceAddresses();
    compareZones();
    for (const std::string& name : keysOf(mBefore.mServices, mAfter.mServices)) {
      compareService(name, findIn(mBefore.mServices, name), findIn(mAfter.mServices, name));
    }
    compareRequests();
    if (mBefore.mWorkspaces != mAfter.mWorkspaces) {
      const auto count = [](const Configuration& aConfig) {
        return std::to_string(aConfig.mWorkspaces.size()) + " workspaces";
      };
      add(DifferenceKind::kOther, "workspaces", count(mBefore), count(mAfter), false);
    }
    std::sort(mDifferences.begin(), mDifferences.end());
    return std::move(mDifferences);
  }

private:
  /// Configuration that a running process with default settings activates after the change.
  static ConfigurationPtr activate(const Configuration& aBefore, const Configuration& aAfter)
  {
    constexpr auto kLongestFlow = std::chrono::hours(12);
    const base::Time now{};
    config::RetainedRoutes routes(kLongestFlow, base::Duration::zero(), 0);
    routes.apply(now, std::make_shared<const Configuration>(aBefore));
    return routes.apply(now, std::make_shared<const Configuration>(aAfter));
  }

  void add(DifferenceKind aKind,
           std::string aPath,
           std::string aBefore,
           std::string aAfter,
           bool aEndsFlows)
  {
    mDifferences.push_back(
      { aKind, std::move(aPath), std::move(aBefore), std::move(aAfter), aEndsFlows });
  }

  /// True if the upstream may have open flows before the change.
  bool mayHaveFlows(const Upstream& aUpstream) const { return mBefore.acceptsPackets(aUpstream); }

  bool mayHaveFlows(const std::string& aService) const
  {
    const Service* service = findIn(mBefore.mServices, aService);
    return service != nullptr &&
           std::any_of(service->mUpstreams.begin(),
                       service->mUpstreams.end(),
                       [&](const Upstream& aUpstream) { return mayHaveFlows(aUpstream); });
  }

  /// True if the upstream gets no more packets of the flows that it may have. Upstreams that are
  /// retained after their removal stand behind the others in aActive.
  bool losesFlows(const Upstream& aUpstream, const UpstreamsByName& aActive) const
  {
    if (!mayHaveFlows(aUpstream)) {
      return false;
    }
    const auto active = aActive.find(aUpstream.mName);
    return active == aActive.end() || active->second->mAgent != aUpstream.mAgent ||
           active->second->mAddress != aUpstream.mAddress ||
           !mActive->acceptsPackets(*active->second);
  }

  UpstreamsByName activeUpstreams(const std::string& aService) const
  {
    const Service* service = findIn(mActive->mServices, aService);
    return service == nullptr ? UpstreamsByName{} : upstreamsByName(*service);
  }

  /// True if open flows to the address end because the service no longer owns them.
  bool endsFlowsTo(flow::Endpoint aAddress, const std::string& aService) const
  {
    return mayHaveFlows(aService) && !mActive->serves(aService, aAddress);
  }

  void compareAddresses()
  {
    const auto before = servicesByAddress(mBefore);
    const auto after = servicesByAddress(mAfter);
    for (const flow::Endpoint& address : keysOf(before, after)) {
      const auto* old = findIn(before, address);
      const auto* current = findIn(after, address);
      if (current == nullptr) {
        const bool endsFlows = std::any_of(old->begin(), old->end(), [&](const auto& aService) {
          return endsFlowsTo(address, aService);
        });
        add(DifferenceKind::kAddressRemoved,
            config::addressKey(address),
            join(*old),
            kUnlisted,
            endsFlows);
      } else if (old == nullptr) {
        add(DifferenceKind::kOther, config::addressKey(address), kUnlisted, join(*current), false);
      } else {
        compareRoutes(address);
      }
    }
  }

  void compareRoutes(flow::Endpoint aAddress)
  {
    const config::AddressRoute* before = findIn(mBefore.mAddresses, aAddress);
    const config::AddressRoute* after = findIn(mAfter.mAddresses, aAddress);
    const std::string textBefore = describe(before);
    const std::string textAfter = describe(after);
    if (textBefore != textAfter) {
      add(DifferenceKind::kOther, config::addressKey(aAddress), textBefore, textAfter, false);
    }
  }

  void compareServiceAddresses()
  {
    const auto before = addressesByService(mBefore);
    const auto after = addressesByService(mAfter);
    for (const auto& [name, addresses] : before) {
      const auto* current = findIn(after, name);
      const bool isRemoved = mBefore.mServices.contains(name) && !mAfter.mServices.contains(name);
      if (!isRemoved && current != nullptr && *current == addresses) {
        continue;
      }
      bool endsFlows = isRemoved && !addresses.empty() && mayHaveFlows(name);
      for (const flow::Endpoint& address : addresses) {
        endsFlows = endsFlows || endsFlowsTo(address, name);
      }
      const bool isUnlisted = isRemoved || current == nullptr;
      const bool isMoved =
        isUnlisted ||
        !std::includes(current->begin(), current->end(), addresses.begin(), addresses.end());
      add(isMoved ? DifferenceKind::kServiceMoved : DifferenceKind::kOther,
          config::serviceKey(name),
          join(addresses),
          isUnlisted ? kUnlisted : join(*current),
          endsFlows);
    }
  }

  void compareZones()
  {
    std::set<std::string> zonesThatLoseFlows;
    for (const auto& [name, service] : mBefore.mServices) {
      const UpstreamsByName active = activeUpstreams(name);
      for (const Upstream& upstream : service.mUpstreams) {
        if (losesFlows(upstream, active)) {
          zonesThatLoseFlows.insert(upstream.mZone);
        }
      }
    }
    for (const std::string& name : keysOf(mBefore.mZones, mAfter.mZones)) {
      const bool isIn = mAfter.isZoneInService(name);
      if (mBefore.isZoneInService(name) != isIn) {
        add(isIn ? DifferenceKind::kOther : DifferenceKind::kZoneOut,
            std::string(config::kZonesKey) + "." + name,
            isIn ? "out" : "in",
            isIn ? "in" : "out",
            !isIn && zonesThatLoseFlows.contains(name));
      }
    }
  }

  void compareService(const std::string& aName, const Service* aOld, const Service* aNew)
  {
    const std::string path = config::serviceKey(aName);
    if (aOld == nullptr) {
      add(DifferenceKind::kOther,
          path,
          kUnlisted,
          std::to_string(aNew->mUpstreams.size()) + " upstreams",
          false);
      return;
    }
    if (aNew == nullptr) {
      return; // compareServiceAddresses() has reported the removal
    }
    if (aOld->mColdStart != aNew->mColdStart) {
      add(isLower(aOld->mColdStart, aNew->mColdStart) ? DifferenceKind::kLimitLowered
                                                      : DifferenceKind::kOther,
          path + ".cold_start",
          describe(aOld->mColdStart),
          describe(aNew->mColdStart),
          false);
    }
    if (aOld->mUpstreams == aNew->mUpstreams) {
      return;
    }
    const UpstreamsByName before = upstreamsByName(*aOld);
    const UpstreamsByName after = upstreamsByName(*aNew);
    const UpstreamsByName active = activeUpstreams(aName);
    for (const std::string& name : keysOf(before, after)) {
      const auto* old = findIn(before, name);
      const auto* current = findIn(after, name);
      std::string upstreamPath = path;
      upstreamPath.append(".upstreams.").append(name);
      compareUpstream(upstreamPath,
                      old == nullptr ? nullptr : *old,
                      current == nullptr ? nullptr : *current,
                      active);
    }
  }

  void compareUpstream(const std::string& aPath,
                       const Upstream* aOld,
                       const Upstream* aNew,
                       const UpstreamsByName& aActive)
  {
    const std::string before = describe(mBefore, aOld);
    const std::string after = describe(mAfter, aNew);
    const bool endsFlows = aOld != nullptr && losesFlows(*aOld, aActive);
    if (aOld == nullptr) {
      add(DifferenceKind::kOther, aPath, before, after, false);
      return;
    }
    if (aNew == nullptr || aOld->mAgent != aNew->mAgent || aOld->mAddress != aNew->mAddress ||
        (aOld->mZone != aNew->mZone && endsFlows)) {
      add(DifferenceKind::kUpstreamRemoved, aPath, before, after, endsFlows);
      return;
    }
    Upstream rest = *aOld;
    if (aNew->mSlots < aOld->mSlots) {
      add(DifferenceKind::kLimitLowered,
          aPath + ".slots",
          std::to_string(aOld->mSlots),
          std::to_string(aNew->mSlots),
          false);
      rest.mSlots = aNew->mSlots;
    }
    rest.mStartedAtMs = aNew->mStartedAtMs; // a fact about the upstream, not a change by operators
    if (rest != *aNew) {
      add(DifferenceKind::kOther, aPath, before, after, false);
    }
  }

  /// True if upstreams take new flows more slowly after a start than before the change. A rate of 0
  /// is no limit.
  static bool isLower(const config::ColdStart& aOld, const config::ColdStart& aNew)
  {
    if (aNew.mDurationMs == 0 || aNew.mMaxNewFlowsPerSecond == 0) {
      return false;
    }
    return aOld.mMaxNewFlowsPerSecond == 0 || aNew.mDurationMs > aOld.mDurationMs ||
           aNew.mMaxNewFlowsPerSecond < aOld.mMaxNewFlowsPerSecond;
  }

  void compareRequests()
  {
    for (const flow::Endpoint& address : keysOf(mBefore.mRequestClasses, mAfter.mRequestClasses)) {
      const config::RequestClass* before = mBefore.requestClassOf(address);
      const config::RequestClass* after = mAfter.requestClassOf(address);
      if (before != nullptr && after != nullptr && *before == *after) {
        continue;
      }
      const bool isLower =
        before != nullptr && after != nullptr &&
        (after->mObjectiveMs < before->mObjectiveMs || after->mDeadlineMs < before->mDeadlineMs);
      add(isLower ? DifferenceKind::kLimitLowered : DifferenceKind::kOther,
          config::requestsKey(address),
          describe(before),
          describe(after),
          false);
    }
  }

  const Configuration& mBefore;
  const Configuration& mAfter;
  ConfigurationPtr mActive;
  std::vector<Difference> mDifferences;
};

} // namespace

std::vector<Difference> findDifferences(const Configuration& aBefore, const Configuration& aAfter)
{
  return Comparison(aBefore, aAfter).run();
}

} // namespace cornelcross::tools::check
