#include "flow/flow_key.hpp"

#include <array>
#include <xxhash.h>

namespace cornelcross::flow {

std::uint64_t FlowKey::hash() const
{
  // Shifts pack the fields into words, so that the hash is independent of byte order and padding.
  const std::array<std::uint64_t, 2> words = {
    (std::uint64_t{ mCaller.mAddress.mValue } << 32U) | mService.mAddress.mValue,
    (std::uint64_t{ mCaller.mPort } << 16U) | mService.mPort,
  };
  return XXH3_64bits(words.data(), sizeof(words));
}

} // namespace cornelcross::flow
