#pragma once

#include "base/time.hpp"

#include <optional>

namespace cornelcross::base {

/// @brief Determines when a process exits after a stop request: once nothing depends on the process
/// any more, or after a timeout.
class GracefulStop
{
public:
  /// @param aTimeout time from the stop request to the unconditional exit
  explicit GracefulStop(Duration aTimeout) : mTimeout(aTimeout) {}

  /// @brief Records a stop request. Only the first request starts the timeout.
  /// @return true if the request is repeated
  bool request(Time aNow)
  {
    const bool isRepeated = mRequestedAt.has_value();
    mRequestedAt = mRequestedAt.value_or(aNow);
    return isRepeated;
  }

  /// @brief True after a stop request.
  bool isRequested() const { return mRequestedAt.has_value(); }

  /// @brief True if the process may exit now. @param aIsNeeded something still depends on the
  /// process
  bool isDue(Time aNow, bool aIsNeeded) const
  {
    return mRequestedAt && (!aIsNeeded || aNow - *mRequestedAt >= mTimeout);
  }

private:
  Duration mTimeout;
  std::optional<Time> mRequestedAt;
};

} // namespace cornelcross::base
