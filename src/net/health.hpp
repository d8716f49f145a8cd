#pragma once

namespace cornelcross::net {

/// @brief State of a process and its response to /healthz.
enum class Health
{
  kReady,    ///< 200 "ok"
  kStarting, ///< 503 "no configuration"
  kStopping, ///< 503 "stopping"; still forwards, but should receive no new traffic
};

} // namespace cornelcross::net
