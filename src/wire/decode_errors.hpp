#pragma once

#include "wire/codec.hpp"

#include <array>

namespace cornelcross::wire {

/// @brief Every reason for which a datagram is not decoded.
inline constexpr std::array kDecodeErrors = {
  DecodeError::kTruncated,   DecodeError::kNotAFrame, DecodeError::kUnknownVersion,
  DecodeError::kUnknownKind, DecodeError::kInvalid,   DecodeError::kTrailingBytes,
};

} // namespace cornelcross::wire
