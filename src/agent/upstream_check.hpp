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

  auto operator<=>(const UpstreamCheck&) const = default;
};

} // namespace cornelcross::agent
