#include "fakes/fabric/link_table.hpp"

#include <algorithm>
#include <iterator>

namespace cornelcross::fakes {

void LinkTable::set(flow::Ipv4Address aFrom, flow::Ipv4Address aTo, const LinkQuality& aQuality)
{
  mLinks[{ aFrom, aTo }] = aQuality;
}

void LinkTable::forget(flow::Ipv4Address aFrom, flow::Ipv4Address aTo)
{
  std::copy_if(mKnown.begin(),
               mKnown.end(),
               std::inserter(mForgotten, mForgotten.end()),
               [&](const Pair& aPair) {
                 return aPair.first.mAddress == aFrom && aPair.second.mAddress == aTo;
               });
}

std::vector<unsigned> LinkTable::carry(flow::Endpoint aFrom, flow::Endpoint aTo)
{
  mKnown.insert({ aFrom, aTo });
  const Link link{ aFrom.mAddress, aTo.mAddress };
  const auto found = mLinks.find(link);
  const LinkQuality& quality = found == mLinks.end() ? mDefault : found->second;
  if (mCut.count(link) != 0 || mForgotten.count({ aFrom, aTo }) != 0 || happens(quality.mLoss)) {
    return {};
  }
  std::vector<unsigned> delays{ delayOf(quality) };
  if (happens(quality.mDuplicate)) {
    delays.push_back(delayOf(quality));
  }
  return delays;
}

bool LinkTable::happens(double aProbability)
{
  return aProbability > 0 && std::uniform_real_distribution<>(0, 1)(mRandom) < aProbability;
}

unsigned LinkTable::delayOf(const LinkQuality& aQuality)
{
  return aQuality.mDelayMs +
         std::uniform_int_distribution<unsigned>(0, aQuality.mJitterMs)(mRandom);
}

} // namespace cornelcross::fakes
