#include "membership/configuration_changes.hpp"

namespace cornelcross::membership {

namespace {

using Events = std::vector<telemetry::Event>;

std::string zoneState(const config::Configuration& aConfiguration, const std::string& aZone)
{
  return aConfiguration.isZoneInService(aZone)  ? "in"
         : aConfiguration.isZoneDraining(aZone) ? "closing"
                                                : "out";
}

/// Appends NAME:COUNT to a comma-separated list.
void appendCount(std::string& aList, std::string_view aName, std::size_t aCount)
{
  if (!aList.empty()) {
    aList += ',';
  }
  aList += aName;
  aList += ':';
  aList += std::to_string(aCount);
}

std::string describeShares(const config::AddressRoute* aRoute)
{
  std::string text;
  if (aRoute != nullptr) {
    for (const config::ServiceShare& share : aRoute->mShares) {
      appendCount(text, share.mService, share.mWeight);
    }
  }
  return text.empty() ? "none" : text;
}

std::string describeUpstreams(const config::Service* aService)
{
  std::map<config::UpstreamState, std::size_t> counts;
  if (aService != nullptr) {
    for (const config::Upstream& upstream : aService->mUpstreams) {
      ++counts[upstream.mState];
    }
  }
  std::string text;
  for (const auto& [state, count] : counts) {
    appendCount(text, toString(state), count);
  }
  return text.empty() ? "none" : text;
}

/// Calls aVisit(key, before, after) for each key of either map, with pointers to the two values.
/// A pointer is nullptr if its map lacks the key.
template<class T, class Visit>
void forEachKey(const T& aBefore, const T& aAfter, const Visit& aVisit)
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
    const std::string before = zoneState(aBefore, name);
    const std::string after = zoneState(aAfter, name);
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
  forEachKey(aBefore.mAddresses,
             aAfter.mAddresses,
             [&](flow::Endpoint aAddress, const auto* aOld, const auto* aNew) {
               if (aOld == nullptr || aNew == nullptr || *aOld != *aNew) {
                 aEvents.push_back({ telemetry::EventKind::kAddressChanged,
                                     { { "address", aAddress.toString() },
                                       { "before", describeShares(aOld) },
                                       { "after", describeShares(aNew) } } });
               }
             });
}

void addServices(const config::Configuration& aBefore,
                 const config::Configuration& aAfter,
                 Events& aEvents)
{
  forEachKey(aBefore.mServices,
             aAfter.mServices,
             [&](const std::string& aName, const auto* aOld, const auto* aNew) {
               const bool isSame =
                 aOld != nullptr && aNew != nullptr &&
                 (aOld->mUpstreams.sharesElementsWith(aNew->mUpstreams) || *aOld == *aNew);
               if (!isSame) {
                 aEvents.push_back({ telemetry::EventKind::kServiceChanged,
                                     { { "service", aName },
                                       { "before", describeUpstreams(aOld) },
                                       { "after", describeUpstreams(aNew) } } });
               }
             });
}

} // namespace

Events changeEvents(const config::Configuration& aBefore, const config::Configuration& aAfter)
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
