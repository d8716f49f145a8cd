#pragma once

#include <cstdint>

namespace cornelcross::admission {

/// @brief Detects an upstream that fails: it ended more than half of its last 16 requests with a
/// reset. Eight answers in a row end this state.
class RequestOutcomes
{
public:
  /// @brief Records a request that the upstream answered.
  void recordAnswer();

  /// @brief Records a request that the upstream ended with a reset.
  void recordReset();

  /// @brief True if the upstream fails.
  bool isFailing() const { return mIsFailing; }

private:
  std::uint16_t mResets = 0;     ///< one bit for each of the last 16 requests, set for a reset
  std::uint32_t mAnswersRow = 0; ///< answers since the last reset
  bool mIsFailing = false;
};

} // namespace cornelcross::admission
