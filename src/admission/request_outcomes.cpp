#include "admission/request_outcomes.hpp"

#include <bit>

namespace cornelcross::admission {

namespace {

constexpr int kMaxResets = 8; ///< of the last 16 requests
constexpr std::uint32_t kAnswersToRecover = 8;

} // namespace

void RequestOutcomes::recordAnswer()
{
  mResets = static_cast<std::uint16_t>(mResets << 1U);
  ++mAnswersRow;
  if (mIsFailing && mAnswersRow >= kAnswersToRecover) {
    *this = {};
  }
}

void RequestOutcomes::recordReset()
{
  mResets = static_cast<std::uint16_t>((mResets << 1U) | 1U);
  mAnswersRow = 0;
  mIsFailing = mIsFailing || std::popcount(mResets) > kMaxResets;
}

} // namespace cornelcross::admission
