#include "routing/owner_cache.hpp"

namespace cornelcross::routing {

void OwnerCache::store(const flow::FlowKey& aFlow, flow::Endpoint aOwner)
{
  if (mRecent.size() >= mCapacity) {
    mPrevious = std::move(mRecent);
    mRecent.clear();
  }
  mRecent.insert_or_assign(aFlow, aOwner);
}

const flow::Endpoint* OwnerCache::find(const flow::FlowKey& aFlow)
{
  const auto recent = mRecent.find(aFlow);
  if (recent != mRecent.end()) {
    return &recent->second;
  }
  const auto previous = mPrevious.find(aFlow);
  if (previous == mPrevious.end()) {
    return nullptr;
  }
  const flow::Endpoint owner = previous->second;
  mPrevious.erase(previous);
  store(aFlow, owner);
  return &mRecent.find(aFlow)->second;
}

void OwnerCache::erase(const flow::FlowKey& aFlow)
{
  mRecent.erase(aFlow);
  mPrevious.erase(aFlow);
}

} // namespace cornelcross::routing
