#include "membership/configuration_changes.hpp"

namespace cornelcross::membership {

namespace {

using Events = std::vector<telemetry::Event>;

std::string stateOf(const config::Configuration& aIn, const std::string& aZone)
{
  return aIn.isZoneInService(aZone) ? "in" : aIn.isZoneDraining(aZone) ? "closing" : "out";
}

/// Appends NAME:COUNT to a list.
void append(std::string& aList, std::string_view aName, std::size_t aCount)
{
  if (!aList.empty()) {
    aList += ',';
  }
  aList += aName;
  aList += ':';
  aList += std::to_string(aCount);
}

std::string sharesOf(const config::AddressRoute* aRoute)
{
  std::string text;
  if (aRoute != nullptr) {
    for (const config::ServiceShare& share : aRoute->mShares) {
      append(text, share.mService, share.mWeight);
    }
  }
  return text.empty() ? "none" : text;
}

std::string statesOf(const config::Service* aService)
{
  std::map<config::UpstreamState, std::size_t> counts;
  if (aService != nullptr) {
    for (const config::Upstream& upstream : aService->mUpstreams) {
      ++counts[upstream.mState];
    }
  }
  std::string text;
  for (const auto& [state, count] : counts) {
    append(text, toString(state), count);
  }
  return text.empty() ? "none" : text;
}

/// Calls aVisit(key, before, after) for each key of either map; what a map lacks is nullptr.
template<class T, class Visit>
void eachKey(const T& aBefore, const T& aAfter, const Visit& aVisit)
{
  const typename T::mapped_type* const none = nullptr;
  for (const auto& [key, before] : aBefore) {
    const auto after = aAfter.find(key);
    aVisit(key, &before, after == aAfter.end() ? none : &after->second);
  }
  for (const auto& [key, after] : aAfter) {
    if (!aBefore.contains(key)) {
      aVisit(key, none, &after);
    }
  }
}

void addZones(const config::Configuration& aBefore,
              const config::Configuration& aAfter,
              Events& aEvents)
{
  for (const auto& [name, zone] : aAfter.mZones) {
    const std::string before = stateOf(aBefore, name);
    const std::string after = stateOf(aAfter, name);
    if (before != after) {
      aEvents.push_back({ telemetry::EventKind::kZoneChanged,
                          { { "zone", name }, { "before", before }, { "after", after } } });
    }
  }
}

void addAddresses(const config::Configuration& aBefore,
                  const config::Configuration& aAfter,
                  Events& aEvents)
{
  eachKey(aBefore.mAddresses,
          aAfter.mAddresses,
          [&](flow::Endpoint aAddress, const auto* aOld, const auto* aNew) {
            if (aOld == nullptr || aNew == nullptr || *aOld != *aNew) {
              aEvents.push_back({ telemetry::EventKind::kAddressChanged,
                                  { { "address", aAddress.toString() },
                                    { "before", sharesOf(aOld) },
                                    { "after", sharesOf(aNew) } } });
            }
          });
}

void addServices(const config::Configuration& aBefore,
                 const config::Configuration& aAfter,
                 Events& aEvents)
{
  eachKey(
    aBefore.mServices,
    aAfter.mServices,
    [&](const std::string& aName, const auto* aOld, const auto* aNew) {
      const bool isSame = aOld != nullptr && aNew != nullptr &&
                          (aOld->mUpstreams.sharesElementsWith(aNew->mUpstreams) || *aOld == *aNew);
      if (!isSame) {
        aEvents.push_back(
          { telemetry::EventKind::kServiceChanged,
            { { "service", aName }, { "before", statesOf(aOld) }, { "after", statesOf(aNew) } } });
      }
    });
}

} // namespace

Events changesBetween(const config::Configuration& aBefore, const config::Configuration& aAfter)
{
  Events events;
  addZones(aBefore, aAfter, events);
  if (aBefore.mRevision > 0) {
    addAddresses(aBefore, aAfter, events);
    addServices(aBefore, aAfter, events);
  }
  for (telemetry::Event& event : events) {
    event.mFields.emplace_back("revision", std::to_string(aAfter.mRevision));
  }
  if (events.size() > kMaxChangeEvents) {
    const std::size_t surplus = events.size() - kMaxChangeEvents;
    events.resize(kMaxChangeEvents);
    events.push_back(
      { telemetry::EventKind::kLogSuppressed, { { "lines", std::to_string(surplus) } } });
  }
  return events;
}

} // namespace cornelcross::membership
