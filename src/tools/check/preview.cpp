#include "tools/check/preview.hpp"

#include "flow/flow_key.hpp"
#include "routing/ranking.hpp"
#include "tools/check/describe.hpp"

#include <set>

namespace cornelcross::tools::check {

namespace {

using config::Configuration;
using config::Service;
using config::Upstream;

const Upstream* findUpstream(const Service& aService, const std::string& aName)
{
  for (const Upstream& upstream : aService.mUpstreams) {
    if (upstream.mName == aName) {
      return &upstream;
    }
  }
  return nullptr;
}

bool acceptsNewFlows(const Configuration& aConfiguration, const Upstream* aUpstream)
{
  return aUpstream != nullptr && aConfiguration.acceptsNewFlows(*aUpstream);
}

bool acceptsPackets(const Configuration& aConfiguration, const Upstream* aUpstream)
{
  return aUpstream != nullptr && aConfiguration.acceptsPackets(*aUpstream);
}

UpstreamEffect classifyEffect(const Configuration& aBefore,
                              const Configuration& aAfter,
                              const Upstream* aOld,
                              const Upstream* aNew)
{
  const bool isReplaced = aOld != nullptr && aNew != nullptr &&
                          (aOld->mAgent != aNew->mAgent || aOld->mAddress != aNew->mAddress);
  if (acceptsPackets(aBefore, aOld) && (!acceptsPackets(aAfter, aNew) || isReplaced)) {
    const bool isDrained = aNew == nullptr && aOld->mState == config::UpstreamState::kLeaving;
    return isDrained ? UpstreamEffect::kRemovedAfterDrain : UpstreamEffect::kLosesFlows;
  }
  if (acceptsNewFlows(aBefore, aOld) != acceptsNewFlows(aAfter, aNew)) {
    return acceptsNewFlows(aAfter, aNew) ? UpstreamEffect::kBecomesEligible
                                         : UpstreamEffect::kStopsNewFlows;
  }
  return UpstreamEffect::kChanged;
}

void compareUpstreams(const Configuration& aBefore,
                      const Configuration& aAfter,
                      const Service& aOld,
                      const Service& aNew,
                      Preview& aPreview)
{
  std::set<std::string> names;
  for (const Service* service : { &aOld, &aNew }) {
    for (const Upstream& upstream : service->mUpstreams) {
      names.insert(upstream.mName);
    }
  }
  for (const std::string& name : names) {
    const Upstream* before = findUpstream(aOld, name);
    const Upstream* after = findUpstream(aNew, name);
    const std::string textBefore = describe(aBefore, before);
    const std::string textAfter = describe(aAfter, after);
    if (textBefore != textAfter) {
      const UpstreamEffect effect = classifyEffect(aBefore, aAfter, before, after);
      aPreview.mUpstreams.push_back({ aOld.mName, name, effect, textBefore, textAfter });
    }
  }
}

/// The aIndex-th of a series of flows to a service, with distinct caller addresses and varying
/// ephemeral ports, as a fabric would receive them.
flow::FlowKey makeSampleFlow(const Service& aService, std::uint32_t aIndex)
{
  constexpr std::uint32_t kFirstAddress = 0x0A000001; // 10.0.0.1
  constexpr std::uint32_t kPortCount = 28232;         // size of the usual ephemeral port range
  constexpr std::uint32_t kFirstPort = 32768;
  const flow::Endpoint caller{ { kFirstAddress + aIndex },
                               static_cast<std::uint16_t>(kFirstPort + aIndex % kPortCount) };
  return { caller, aService.mAddress };
}

/// Ranking of the upstreams of a service that accept new flows.
routing::Ranking rankEligible(const Configuration& aConfiguration, const Service& aService)
{
  return { aService,
           [&](const auto& aUpstream) { return aConfiguration.acceptsNewFlows(aUpstream); } };
}

/// Name of the highest-ranked eligible upstream for a new flow; empty if no upstream is eligible.
std::string firstEligibleUpstream(const routing::Ranking& aRanking,
                                  const Service& aService,
                                  const flow::FlowKey& aFlow)
{
  std::vector<std::size_t> order;
  aRanking.rank(aFlow.hash(), 1, order);
  return order.empty() ? std::string() : aService.mUpstreams[order.front()].mName;
}

ServiceChange compareShares(const Configuration& aBefore,
                            const Configuration& aAfter,
                            const Service& aOld,
                            const Service& aNew,
                            std::uint32_t aSampledFlows)
{
  ServiceChange change{ aOld.mName, 0, {}, {} };
  const double shareOfOneFlow = 1.0 / aSampledFlows;
  const routing::Ranking oldRanking = rankEligible(aBefore, aOld);
  const routing::Ranking newRanking = rankEligible(aAfter, aNew);
  for (std::uint32_t i = 0; i < aSampledFlows; ++i) {
    const flow::FlowKey key = makeSampleFlow(aNew, i);
    const std::string before = firstEligibleUpstream(oldRanking, aOld, key);
    const std::string after = firstEligibleUpstream(newRanking, aNew, key);
    change.mSharesBefore[before] += shareOfOneFlow;
    change.mSharesAfter[after] += shareOfOneFlow;
    change.mMovedShare += before == after ? 0 : shareOfOneFlow;
  }
  return change;
}

void compareService(const Configuration& aBefore,
                    const Configuration& aAfter,
                    const Service& aOld,
                    const Service& aNew,
                    std::uint32_t aSampledFlows,
                    Preview& aPreview)
{
  if (aOld.mAddress != aNew.mAddress) {
    aPreview.mReaddressedServices.push_back(aOld.mName);
  }
  const std::size_t previousCount = aPreview.mUpstreams.size();
  compareUpstreams(aBefore, aAfter, aOld, aNew, aPreview);
  if (aPreview.mUpstreams.size() > previousCount) {
    aPreview.mServices.push_back(compareShares(aBefore, aAfter, aOld, aNew, aSampledFlows));
  }
}

void compareZones(const Configuration& aBefore, const Configuration& aAfter, Preview& aPreview)
{
  std::set<std::string> names;
  for (const Configuration* configuration : { &aBefore, &aAfter }) {
    for (const auto& [name, zone] : configuration->mZones) {
      names.insert(name);
    }
  }
  for (const std::string& name : names) {
    if (aBefore.isZoneInService(name) != aAfter.isZoneInService(name)) {
      (aAfter.isZoneInService(name) ? aPreview.mZonesIn : aPreview.mZonesOut).push_back(name);
    }
  }
}

template<class Value>
std::vector<DocumentChange> compareDocuments(const std::map<flow::Endpoint, Value>& aBefore,
                                             const std::map<flow::Endpoint, Value>& aAfter)
{
  std::set<flow::Endpoint> addresses;
  for (const auto* documents : { &aBefore, &aAfter }) {
    for (const auto& [address, value] : *documents) {
      addresses.insert(address);
    }
  }
  const auto find = [](const auto& aDocuments, flow::Endpoint aAddress) {
    const auto found = aDocuments.find(aAddress);
    return found == aDocuments.end() ? nullptr : &found->second;
  };
  std::vector<DocumentChange> changes;
  for (const flow::Endpoint& address : addresses) {
    const std::string before = describe(find(aBefore, address));
    const std::string after = describe(find(aAfter, address));
    if (before != after) {
      changes.push_back({ address, before, after });
    }
  }
  return changes;
}

} // namespace

Preview previewChange(const Configuration& aBefore,
                      const Configuration& aAfter,
                      std::uint32_t aSampledFlows)
{
  Preview preview;
  for (const auto& [name, service] : aBefore.mServices) {
    const auto found = aAfter.mServices.find(name);
    if (found == aAfter.mServices.end()) {
      preview.mRemovedServices.push_back(name);
    } else {
      compareService(aBefore, aAfter, service, found->second, aSampledFlows, preview);
    }
  }
  for (const auto& [name, service] : aAfter.mServices) {
    if (aBefore.mServices.count(name) == 0) {
      preview.mAddedServices.push_back(name);
    }
  }
  compareZones(aBefore, aAfter, preview);
  preview.mAddresses = compareDocuments(aBefore.mAddresses, aAfter.mAddresses);
  preview.mRequests = compareDocuments(aBefore.mRequestClasses, aAfter.mRequestClasses);
  preview.mHasWorkspaceChange = aBefore.mWorkspaces != aAfter.mWorkspaces;
  return preview;
}

} // namespace cornelcross::tools::check
