#include "config/gone_upstreams.hpp"

#include <algorithm>
#include <set>

namespace cornelcross::config {

namespace {

/// Bound on memory: the largest service of which all upstreams vanish at once.
constexpr std::size_t kMaxGone = 4096;

} // namespace

void GoneUpstreams::collect(base::Time aNow, const Service& aBefore, const Service* aAfter)
{
  std::set<std::uint64_t> listed;
  if (aAfter != nullptr) {
    for (const Upstream& upstream : aAfter->mUpstreams) {
      listed.insert(upstream.mIdentity);
    }
  }
  for (const Upstream& upstream : aBefore.mUpstreams) {
    if (!listed.contains(upstream.mIdentity) && mGone.size() < kMaxGone) {
      mGone.push_back({ aBefore.mName, upstream, aNow });
      mGone.back().mUpstream.mState = UpstreamState::kGone;
    }
  }
}

void GoneUpstreams::forgetListed(const Service& aService)
{
  if (mGone.empty()) {
    return;
  }
  std::set<std::uint64_t> identities;
  std::set<flow::Endpoint> endpoints;
  for (const Upstream& upstream : aService.mUpstreams) {
    identities.insert(upstream.mIdentity);
    endpoints.insert({ upstream.mAgent, upstream.mAddress });
  }
  std::erase_if(mGone, [&](const Gone& aGone) {
    const Upstream& upstream = aGone.mUpstream;
    return identities.contains(upstream.mIdentity) || endpoints.contains(upstream.mAgent) ||
           endpoints.contains(upstream.mAddress);
  });
}

ConfigurationPtr GoneUpstreams::apply(base::Time aNow, ConfigurationPtr aDeclared)
{
  for (const auto& [name, before] : mDeclared->mServices) {
    const auto after = aDeclared->mServices.find(name);
    const bool isKept = after != aDeclared->mServices.end();
    if (isKept && after->second.mUpstreams.sharesWith(before.mUpstreams)) {
      continue;
    }
    collect(aNow, before, isKept ? &after->second : nullptr);
  }
  for (const auto& [name, after] : aDeclared->mServices) {
    const auto before = mDeclared->mServices.find(name);
    if (before == mDeclared->mServices.end() ||
        !after.mUpstreams.sharesWith(before->second.mUpstreams)) {
      forgetListed(after);
    }
  }
  mDeclared = std::move(aDeclared);
  return combine();
}

ConfigurationPtr GoneUpstreams::expire(base::Time aNow)
{
  const auto erased =
    std::erase_if(mGone, [&](const Gone& aGone) { return aNow - aGone.mSince >= mLifetime; });
  return erased > 0 ? combine() : nullptr;
}

ConfigurationPtr GoneUpstreams::combine() const
{
  if (mGone.empty()) {
    return mDeclared;
  }
  auto combined = std::make_shared<Configuration>(*mDeclared);
  for (const Gone& gone : mGone) {
    const auto service = combined->mServices.find(gone.mService);
    if (service != combined->mServices.end()) {
      service->second.mUpstreams.push_back(gone.mUpstream);
    }
  }
  return combined;
}

} // namespace cornelcross::config
