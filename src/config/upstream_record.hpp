#pragma once

#include <compare>
#include <cstdint>

namespace cornelcross::config {

/// @brief What the configuration service states of the record that an upstream writes and renews.
struct UpstreamRecord
{
  std::uint64_t mStartedAtMs = 0;     ///< see Upstream
  std::uint64_t mRevision = 0;        ///< revision of its last write; 0 if there is no record
  std::uint64_t mServiceRevision = 0; ///< revision of the service at its response

  auto operator<=>(const UpstreamRecord&) const = default;
};

} // namespace cornelcross::config
