#pragma once

#include <cstdint>

namespace cornelcross::flow {

/// @brief True if the sequence number aLeft comes after aRight in their circular space
/// (RFC 9293, section 3.4).
inline bool isSequenceAfter(std::uint32_t aLeft, std::uint32_t aRight)
{
  return static_cast<std::int32_t>(aLeft - aRight) > 0;
}

} // namespace cornelcross::flow
