#pragma once

#include "wire/codec.hpp"

#include <array>

namespace cornelcross::wire {

/// @brief All values of DecodeError.
inline constexpr std::array kDecodeErrors = {
  DecodeError::kTruncated,   DecodeError::kNotAFrame, DecodeError::kUnknownVersion,
  DecodeError::kUnknownKind, DecodeError::kInvalid,   DecodeError::kTrailingBytes,
};

} // namespace cornelcross::wire
