#pragma once

namespace cornelcross::net {

/// @brief What /healthz answers.
enum class Health
{
  kReady,    ///< 200 "ok"
  kStarting, ///< 503 "no configuration"
  kStopping, ///< 503 "stopping": still works, but should be sent no more
};

} // namespace cornelcross::net
