#pragma once

#include <string_view>

namespace cornelcross::flow {

/// @brief Outcome of an attempt to connect over TCP.
enum class ConnectionOutcome
{
  kAccepted, ///< a process accepts connections at the endpoint
  kRefused,  ///< no process accepts connections at the endpoint: the peer answered with RST
  kFailed,   ///< the deadline passed, or any other error
};

/// @brief Name of the outcome in logs.
inline std::string_view toString(ConnectionOutcome aOutcome)
{
  switch (aOutcome) {
    case ConnectionOutcome::kAccepted:
      return "accepted";
    case ConnectionOutcome::kRefused:
      return "refused";
    case ConnectionOutcome::kFailed:
      return "failed";
  }
  return "unknown";
}

} // namespace cornelcross::flow
