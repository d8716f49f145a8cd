#pragma once

#include <cstdint>

namespace cornelcross::flow {

/// @brief True if sequence number aLeft follows aRight in the circular sequence space (RFC 9293,
/// section 3.4).
inline bool isSequenceAfter(std::uint32_t aLeft, std::uint32_t aRight)
{
  return static_cast<std::int32_t>(aLeft - aRight) > 0;
}

} // namespace cornelcross::flow
