#include "tools/check/findings.hpp"

#include "config/document_key.hpp"

#include <algorithm>
#include <set>

namespace cornelcross::tools::check {

namespace {

using config::Configuration;
using config::Prefix;
using config::Service;

/// A longer period is probably a value in another unit.
constexpr std::uint32_t kMaxPlausibleColdStartMs = 600000;

constexpr int kAddressBits = 32;

std::uint64_t sizeOf(const Prefix& aPrefix)
{
  return std::uint64_t{ 1 } << (kAddressBits - aPrefix.mLength);
}

/// True if the longer prefixes in aPrefixes cover the whole prefix at aIndex. aPrefixes is sorted
/// by address and length, so that the prefixes within a prefix follow it.
bool isCoveredByLonger(const std::vector<Prefix>& aPrefixes, std::size_t aIndex)
{
  const Prefix& outer = aPrefixes[aIndex];
  const std::uint64_t end = outer.mAddress.mValue + sizeOf(outer);
  std::uint64_t covered = outer.mAddress.mValue;
  for (std::size_t i = aIndex + 1; i < aPrefixes.size() && covered < end; ++i) {
    if (aPrefixes[i].mAddress.mValue > covered) {
      return false;
    }
    covered = std::max(covered, aPrefixes[i].mAddress.mValue + sizeOf(aPrefixes[i]));
  }
  return covered >= end;
}

void findCoveredPrefixes(const Configuration& aConfiguration, std::vector<Finding>& aFindings)
{
  std::vector<Prefix> prefixes;
  for (const config::Workspace& workspace : aConfiguration.mWorkspaces) {
    prefixes.insert(prefixes.end(), workspace.mPrefixes.begin(), workspace.mPrefixes.end());
  }
  std::sort(prefixes.begin(), prefixes.end());
  for (std::size_t w = 0; w < aConfiguration.mWorkspaces.size(); ++w) {
    const std::vector<Prefix>& own = aConfiguration.mWorkspaces[w].mPrefixes;
    for (std::size_t p = 0; p < own.size(); ++p) {
      const auto found = std::lower_bound(prefixes.begin(), prefixes.end(), own[p]);
      if (isCoveredByLonger(prefixes, static_cast<std::size_t>(found - prefixes.begin()))) {
        aFindings.push_back(
          { FindingKind::kPrefixCovered,
            "workspaces.workspaces[" + std::to_string(w) + "].prefixes[" + std::to_string(p) + "]",
            own[p].toString() + " never matches: longer prefixes cover it" });
      }
    }
  }
}

void findZeroWeights(const Configuration& aConfiguration, std::vector<Finding>& aFindings)
{
  for (const auto& [address, route] : aConfiguration.mAddresses) {
    for (std::size_t i = 0; i < route.mShares.size(); ++i) {
      if (route.mShares[i].mWeight == 0) {
        aFindings.push_back(
          { FindingKind::kShareWithoutNewFlows,
            config::addressKey(address) + ".services[" + std::to_string(i) + "]",
            "service " + route.mShares[i].mService + " gets no new flow at weight 0" });
      }
    }
  }
}

void findRequestLimits(const Configuration& aConfiguration, std::vector<Finding>& aFindings)
{
  for (const auto& [address, requestClass] : aConfiguration.mRequestClasses) {
    if (requestClass.mObjectiveMs > requestClass.mDeadlineMs) {
      aFindings.push_back({ FindingKind::kObjectiveAboveDeadline,
                            config::requestsKey(address) + ".objective_ms",
                            std::to_string(requestClass.mObjectiveMs) + " exceeds deadline_ms " +
                              std::to_string(requestClass.mDeadlineMs) });
    }
  }
}

void findColdStartLimits(const Configuration& aConfiguration, std::vector<Finding>& aFindings)
{
  for (const auto& [name, service] : aConfiguration.mServices) {
    const config::ColdStart& cold = service.mColdStart;
    const std::string path = config::serviceKey(name) + ".cold_start";
    if (cold.mDurationMs > kMaxPlausibleColdStartMs) {
      aFindings.push_back({ FindingKind::kColdStartTooLong,
                            path + ".milliseconds",
                            std::to_string(cold.mDurationMs) + " is longer than ten minutes" });
    }
    // The rate counts for each upstream, so that any rate but 0 admits one flow a second at each.
    // Processes take 0 as "no limit".
    if (cold.mDurationMs > 0 && cold.mMaxNewFlowsPerSecond == 0) {
      aFindings.push_back({ FindingKind::kColdStartRateBelowUpstreams,
                            path + ".flows_per_second",
                            "below 1 for each upstream: no limit is in force" });
    }
  }
}

bool hasUpstreamForNewFlows(const Configuration& aConfiguration, const std::string& aService)
{
  const auto found = aConfiguration.mServices.find(aService);
  return found != aConfiguration.mServices.end() &&
         std::any_of(
           found->second.mUpstreams.begin(),
           found->second.mUpstreams.end(),
           [&](const auto& aUpstream) { return aConfiguration.acceptsNewFlows(aUpstream); });
}

void findUnreachableServices(const Configuration& aConfiguration, std::vector<Finding>& aFindings)
{
  std::set<std::string> routed;
  for (const auto& [address, route] : aConfiguration.mAddresses) {
    for (const config::ServiceShare& share : route.mShares) {
      routed.insert(share.mService);
    }
  }
  for (const auto& [name, service] : aConfiguration.mServices) {
    if (service.mAddress == flow::Endpoint{} && !routed.contains(name)) {
      aFindings.push_back({ FindingKind::kServiceWithoutAddress,
                            config::serviceKey(name),
                            "it has no address, and no address document names it" });
    }
  }
}

void findDeadAddresses(const Configuration& aConfiguration, std::vector<Finding>& aFindings)
{
  // Path of each address, and whether a service behind it takes new flows. An address may stand in
  // the documents of a service and of an address; both are then behind it.
  std::map<flow::Endpoint, std::pair<std::string, bool>> addresses;
  for (const auto& [address, route] : aConfiguration.mAddresses) {
    auto& [path, takesNewFlows] = addresses[address];
    path = config::addressKey(address);
    for (const config::ServiceShare& share : route.mShares) {
      takesNewFlows = takesNewFlows ||
                      (share.mWeight > 0 && hasUpstreamForNewFlows(aConfiguration, share.mService));
    }
  }
  for (const auto& [name, service] : aConfiguration.mServices) {
    if (service.mAddress == flow::Endpoint{}) {
      continue;
    }
    auto& [path, takesNewFlows] = addresses[service.mAddress];
    path = path.empty() ? config::serviceKey(name) + ".address" : path;
    takesNewFlows = takesNewFlows || hasUpstreamForNewFlows(aConfiguration, name);
  }
  for (const auto& [address, entry] : addresses) {
    if (!entry.second) {
      aFindings.push_back({ FindingKind::kAddressWithoutUpstreams,
                            entry.first,
                            "no upstream takes new flows to " + address.toString() });
    }
  }
}

void findEmptyZones(const Configuration& aConfiguration, std::vector<Finding>& aFindings)
{
  std::set<std::string> used;
  for (const auto& [name, service] : aConfiguration.mServices) {
    for (const config::Upstream& upstream : service.mUpstreams) {
      used.insert(upstream.mZone);
    }
  }
  for (const auto& [name, zone] : aConfiguration.mZones) {
    if (!used.contains(name)) {
      aFindings.push_back({ FindingKind::kZoneWithoutUpstreams,
                            std::string(config::kZonesKey) + "." + name,
                            "no upstream is in the zone" });
    }
  }
}

} // namespace

std::vector<Finding> findInDocuments(const Configuration& aConfiguration)
{
  std::vector<Finding> findings;
  findZeroWeights(aConfiguration, findings);
  findCoveredPrefixes(aConfiguration, findings);
  findRequestLimits(aConfiguration, findings);
  findColdStartLimits(aConfiguration, findings);
  return findings;
}

std::vector<Finding> findAcrossDocuments(const Configuration& aConfiguration)
{
  std::vector<Finding> findings;
  findUnreachableServices(aConfiguration, findings);
  findDeadAddresses(aConfiguration, findings);
  findEmptyZones(aConfiguration, findings);
  return findings;
}

} // namespace cornelcross::tools::check
