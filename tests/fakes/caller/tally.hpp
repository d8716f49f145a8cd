#pragma once

#include <atomic>
#include <cstdint>

namespace cornelcross::fakes {

/// @brief Counts over all sessions of a caller process.
struct Tally
{
  std::atomic<std::uint64_t> mOpen = 0;
  std::atomic<std::uint64_t> mFlows = 0;      ///< connections established
  std::atomic<std::uint64_t> mRefused = 0;    ///< RST in answer to the SYN
  std::atomic<std::uint64_t> mUnanswered = 0; ///< no answer to the SYN at all
  std::atomic<std::uint64_t> mBroken = 0;     ///< established, then reset, silent or cut short
  std::atomic<std::uint64_t> mIncomplete = 0; ///< answers that were foreign, cut short or altered
  std::atomic<std::uint64_t> mShed = 0;       ///< requests that the upstream shed
  std::atomic<std::uint64_t> mAnswered = 0;   ///< whole answers
};

} // namespace cornelcross::fakes
