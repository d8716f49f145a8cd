#pragma once

#include "base/time.hpp"

#include <compare>
#include <string_view>

namespace cornelcross::agent {

/// @brief What shows that a start of an upstream runs.
enum class UpstreamProofKind
{
  kAcceptedConnection,
  kPacket,
  kRecord, ///< its record was written again
};

/// @brief Name of the kind in logs.
inline std::string_view toString(UpstreamProofKind aKind)
{
  switch (aKind) {
    case UpstreamProofKind::kAcceptedConnection:
      return "accepted_connection";
    case UpstreamProofKind::kPacket:
      return "packet";
    case UpstreamProofKind::kRecord:
      return "record";
  }
  return "unknown";
}

/// @brief Shows that a start of an upstream ran at a time or later.
struct UpstreamProof
{
  UpstreamProofKind mKind = UpstreamProofKind::kAcceptedConnection;
  base::Time mAt;

  auto operator<=>(const UpstreamProof&) const = default;
};

} // namespace cornelcross::agent
