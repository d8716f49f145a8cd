#include "agent/returnable_packets.hpp"

#include <utility>

namespace cornelcross::agent {

std::uint32_t ReturnablePackets::remember(const wire::Forward& aForward)
{
  mLast = mLast == UINT32_MAX ? 1 : mLast + 1;
  Entry& entry = mEntries[mLast % mEntries.size()];
  entry.mTag = mLast;
  entry.mForward = aForward;
  return mLast;
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
