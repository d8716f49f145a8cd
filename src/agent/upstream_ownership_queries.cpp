#include "agent/upstream_ownership_queries.hpp"

namespace cornelcross::agent {

namespace {

constexpr base::Duration kResponseTimeout = std::chrono::seconds(2);

/// An upstream returns a packet within a few milliseconds.
constexpr base::Duration kReturnTime = std::chrono::milliseconds(50);
constexpr base::Duration kDenialLifetime = std::chrono::seconds(60);
constexpr std::uint32_t kMaxQueriesPerSecond = 2000;
constexpr std::size_t kMaxQueries = 65536;

} // namespace

bool UpstreamOwnershipQueries::isDenied(base::Time aNow, const flow::FlowKey& aFlow) const
{
  const auto found = mQueries.find(aFlow);
  return found != mQueries.end() && found->second.mIsDenied &&
         aNow - found->second.mDeniedAt < kDenialLifetime;
}

bool UpstreamOwnershipQueries::isPending(base::Time aNow, const flow::FlowKey& aFlow) const
{
  const auto found = mQueries.find(aFlow);
  return found != mQueries.end() && !found->second.mIsDenied &&
         aNow - found->second.mSentAt <= kReturnTime;
}

bool UpstreamOwnershipQueries::start(base::Time aNow, const flow::FlowKey& aFlow, bool aIsDecisive)
{
  if (aNow - mSecondStartedAt >= std::chrono::seconds(1)) {
    mSecondStartedAt = aNow;
    mSentInSecond = 0;
  }
  if (mSentInSecond >= kMaxQueriesPerSecond || mQueries.size() >= kMaxQueries) {
    return false;
  }
  ++mSentInSecond;
  ++mQueriesSent;
  Query& query = mQueries[aFlow];
  query = { aNow, {}, aIsDecisive, false };
  return true;
}

ResetHandling UpstreamOwnershipQueries::onReset(base::Time aNow, const flow::FlowKey& aFlow)
{
  const auto found = mQueries.find(aFlow);
  if (found == mQueries.end() || aNow - found->second.mSentAt > kResponseTimeout) {
    return ResetHandling::kForward;
  }
  Query& query = found->second;
  query.mIsDenied = true;
  query.mDeniedAt = aNow;
  return query.mIsDecisive ? ResetHandling::kForward : ResetHandling::kSuppress;
}

void UpstreamOwnershipQueries::recordDenial(base::Time aNow, const flow::FlowKey& aFlow)
{
  const auto found = mQueries.find(aFlow);
  if (found != mQueries.end()) {
    found->second.mIsDenied = true;
    found->second.mDeniedAt = aNow;
  }
}

void UpstreamOwnershipQueries::erase(const flow::FlowKey& aFlow)
{
  mQueries.erase(aFlow);
}

void UpstreamOwnershipQueries::clear()
{
  mQueries.clear();
}

void UpstreamOwnershipQueries::expire(base::Time aNow)
{
  std::erase_if(mQueries, [&](const auto& aEntry) {
    const Query& query = aEntry.second;
    return query.mIsDenied ? aNow - query.mDeniedAt >= kDenialLifetime
                           : aNow - query.mSentAt > kResponseTimeout;
  });
}

} // namespace cornelcross::agent
