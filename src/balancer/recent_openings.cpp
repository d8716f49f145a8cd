#include "balancer/recent_openings.hpp"

#include <utility>

namespace cornelcross::balancer {

namespace {

/// Callers give up an attempt, at which they send at most three SYNs, within this time.
constexpr base::Duration kLifetime = std::chrono::seconds(2);

/// Bounds the memory that one flow can take.
constexpr std::size_t kMaxTried = 8;

} // namespace

bool RecentOpenings::isExpired(base::Time aNow, const Opening& aOpening)
{
  return aNow - aOpening.mStartedAt > kLifetime;
}

void RecentOpenings::addTried(Opening& aOpening, flow::Endpoint aAgent)
{
  if (aOpening.mTried.size() < kMaxTried) {
    aOpening.mTried.push_back(aAgent);
  }
}

const RecentOpenings::Opening* RecentOpenings::find(base::Time aNow,
                                                    const flow::FlowKey& aFlow,
                                                    std::uint32_t aSequence) const
{
  const auto found = mOpenings.find(aFlow);
  const bool isKnown = found != mOpenings.end() && found->second.mSequence == aSequence &&
                       !isExpired(aNow, found->second);
  return isKnown ? &found->second : nullptr;
}

bool RecentOpenings::record(base::Time aNow,
                            std::uint64_t aService,
                            const flow::FlowKey& aFlow,
                            std::uint32_t aSequence,
                            flow::Endpoint aAgent)
{
  const bool isNew = find(aNow, aFlow, aSequence) == nullptr;
  if (isNew) {
    Opening opening;
    opening.mService = aService;
    opening.mSequence = aSequence;
    opening.mStartedAt = aNow;
    mOpenings.insert_or_assign(aFlow, std::move(opening));
    mStarts.push_back({ aNow, aFlow });
  }
  addTried(mOpenings.at(aFlow), aAgent);
  evict(aNow);
  return isNew;
}

void RecentOpenings::evict(base::Time aNow)
{
  while (!mStarts.empty() &&
         (mStarts.size() > mCapacity || aNow - mStarts.front().mStartedAt > kLifetime)) {
    const auto found = mOpenings.find(mStarts.front().mFlow);
    if (found != mOpenings.end() && found->second.mStartedAt == mStarts.front().mStartedAt) {
      mOpenings.erase(found);
    }
    mStarts.pop_front();
  }
}

bool RecentOpenings::markLate(const flow::FlowKey& aFlow)
{
  const auto found = mOpenings.find(aFlow);
  return found != mOpenings.end() && !std::exchange(found->second.mIsLate, true);
}

void RecentOpenings::recordHedge(const flow::FlowKey& aFlow, flow::Endpoint aAgent)
{
  const auto found = mOpenings.find(aFlow);
  if (found != mOpenings.end()) {
    found->second.mHedge = aAgent;
    addTried(found->second, aAgent);
  }
}

std::optional<RecentOpenings::Admission> RecentOpenings::recordAdmission(base::Time aNow,
                                                                         const flow::FlowKey& aFlow,
                                                                         flow::Endpoint aAgent)
{
  const auto found = mOpenings.find(aFlow);
  if (found == mOpenings.end() || found->second.mIsAdmitted || isExpired(aNow, found->second)) {
    return std::nullopt;
  }
  Opening& opening = found->second;
  opening.mIsAdmitted = true;
  return Admission{ opening.mService,
                    aNow - opening.mStartedAt,
                    opening.mHedge.has_value(),
                    opening.mHedge == aAgent };
}

} // namespace cornelcross::balancer
