#include "routing/owner_cache.hpp"

namespace cornelcross::routing {

void OwnerCache::store(const flow::FlowKey& aFlow, flow::Endpoint aOwner)
{
  if (mYoung.size() >= mCapacity) {
    mOld = std::move(mYoung);
    mYoung.clear();
  }
  mYoung.insert_or_assign(aFlow, aOwner);
}

const flow::Endpoint* OwnerCache::find(const flow::FlowKey& aFlow)
{
  const auto young = mYoung.find(aFlow);
  if (young != mYoung.end()) {
    return &young->second;
  }
  const auto old = mOld.find(aFlow);
  if (old == mOld.end()) {
    return nullptr;
  }
  const flow::Endpoint owner = old->second;
  mOld.erase(old);
  store(aFlow, owner);
  return &mYoung.find(aFlow)->second;
}

void OwnerCache::erase(const flow::FlowKey& aFlow)
{
  mYoung.erase(aFlow);
  mOld.erase(aFlow);
}

} // namespace cornelcross::routing
