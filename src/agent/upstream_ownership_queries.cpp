#include "agent/upstream_ownership_queries.hpp"

namespace cornelcross::agent {

namespace {

constexpr base::Duration kAnswerTimeout = std::chrono::seconds(2);
constexpr base::Duration kDenialLifetime = std::chrono::seconds(60);
constexpr std::uint32_t kMaxQuestionsPerSecond = 2000;
constexpr std::size_t kMaxQuestions = 65536;

} // namespace

bool UpstreamOwnershipQueries::isDenied(base::Time aNow, const flow::FlowKey& aFlow) const
{
  const auto found = mQuestions.find(aFlow);
  return found != mQuestions.end() && found->second.mIsDenied &&
         aNow - found->second.mDeniedAt < kDenialLifetime;
}

bool UpstreamOwnershipQueries::ask(base::Time aNow, const flow::FlowKey& aFlow, bool aIsFinal)
{
  if (aNow - mSecond >= std::chrono::seconds(1)) {
    mSecond = aNow;
    mAskedInSecond = 0;
  }
  if (mAskedInSecond >= kMaxQuestionsPerSecond || mQuestions.size() >= kMaxQuestions) {
    return false;
  }
  ++mAskedInSecond;
  ++mAsked;
  Question& question = mQuestions[aFlow];
  question = { aNow, {}, aIsFinal, false };
  return true;
}

ResetVerdict UpstreamOwnershipQueries::onReset(base::Time aNow, const flow::FlowKey& aFlow)
{
  const auto found = mQuestions.find(aFlow);
  if (found == mQuestions.end() || aNow - found->second.mLastAsked > kAnswerTimeout) {
    return ResetVerdict::kPass;
  }
  Question& question = found->second;
  question.mIsDenied = true;
  question.mDeniedAt = aNow;
  return question.mIsFinal ? ResetVerdict::kPass : ResetVerdict::kHold;
}

void UpstreamOwnershipQueries::deny(base::Time aNow, const flow::FlowKey& aFlow)
{
  const auto found = mQuestions.find(aFlow);
  if (found != mQuestions.end()) {
    found->second.mIsDenied = true;
    found->second.mDeniedAt = aNow;
  }
}

void UpstreamOwnershipQueries::erase(const flow::FlowKey& aFlow)
{
  mQuestions.erase(aFlow);
}

void UpstreamOwnershipQueries::clear()
{
  mQuestions.clear();
}

void UpstreamOwnershipQueries::expire(base::Time aNow)
{
  std::erase_if(mQuestions, [&](const auto& aEntry) {
    const Question& question = aEntry.second;
    return question.mIsDenied ? aNow - question.mDeniedAt >= kDenialLifetime
                              : aNow - question.mLastAsked > kAnswerTimeout;
  });
}

} // namespace cornelcross::agent
