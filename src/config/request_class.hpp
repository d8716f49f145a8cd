#pragma once

#include <compare>
#include <cstdint>

namespace cornelcross::config {

/// @brief Upper bounds of RequestClass members.
inline constexpr std::uint32_t kMaxRank = 7;
inline constexpr std::uint32_t kMaxRequestTimeMs = 600000;

/// @brief What callers expect of the requests to an address, as declared by operators.
struct RequestClass
{
  std::uint32_t mRank = 0;        ///< 0 is the most urgent
  std::uint32_t mObjectiveMs = 1; ///< time in which a request is to be answered
  std::uint32_t mDeadlineMs = 1;  ///< time after which a caller no longer waits
  bool mIsRepeatable = false;     ///< a request may be sent again

  auto operator<=>(const RequestClass&) const = default;
};

} // namespace cornelcross::config
