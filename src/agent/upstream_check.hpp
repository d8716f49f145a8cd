#pragma once

#include "base/time.hpp"

#include <optional>

namespace cornelcross::agent {

/// @brief What an agent process observes of its upstream.
struct UpstreamCheck
{
  bool mIsConnected = false; ///< the connection to it is open
  bool mIsConfirmed = false; ///< the active configuration is confirmed

  /// Time of the newest response of the configuration service to any process.
  std::optional<base::Time> mServiceRespondedAt = {};

  /// Each packet of the upstream that arrived before this time has been handled.
  base::Time mPacketsHandledUntil = {};

  auto operator<=>(const UpstreamCheck&) const = default;
};

} // namespace cornelcross::agent
