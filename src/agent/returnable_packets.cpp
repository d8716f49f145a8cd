#include "agent/returnable_packets.hpp"

#include <utility>

namespace cornelcross::agent {

std::uint32_t ReturnablePackets::store(const wire::Forward& aForward)
{
  mLastTag = mLastTag == UINT32_MAX ? 1 : mLastTag + 1;
  Entry& entry = mEntries[mLastTag % mEntries.size()];
  entry.mTag = mLastTag;
  entry.mForward = aForward;
  return mLastTag;
}

std::optional<wire::Forward> ReturnablePackets::take(std::uint32_t aTag)
{
  Entry& entry = mEntries[aTag % mEntries.size()];
  if (aTag == 0 || entry.mTag != aTag) {
    return std::nullopt;
  }
  entry.mTag = 0;
  return std::move(entry.mForward);
}

} // namespace cornelcross::agent
