#include "agent/lookup_queries.hpp"

#include <algorithm>
#include <utility>

namespace cornelcross::agent {

namespace {

/// Round trip between availability zones, with room for slow processes.
constexpr base::Duration kRoundTimeout = std::chrono::milliseconds(200);

// Silence after which the agent of an upstream that is no longer registered counts as gone. Single
// messages may be lost.
constexpr base::Duration kLongSilence = std::chrono::seconds(1);
constexpr std::uint32_t kMinUnansweredQueries = 3;

/// Time after which an unanswered query no longer belongs to the same silence. Queries are repeated
/// several times a second while there are lookups.
constexpr base::Duration kSilenceGap = std::chrono::seconds(2);

/// Earlier rounds whose replies still count. Agents with a fraction of a core reply late under
/// load.
constexpr std::size_t kMaxEarlierRounds = 8;
constexpr base::Duration kReplyLifetime = std::chrono::seconds(1);

/// Bounds the memory of the queries of earlier rounds, to about 1.6 MB.
constexpr std::size_t kMaxLateFlows = 131072;

} // namespace

std::uint32_t LookupQueries::start(base::Time aNow, Flows aFlows)
{
  mStartedAt = aNow;
  mUnanswered = std::move(aFlows);
  return ++mRound;
}

void LookupQueries::finish(base::Time aNow)
{
  EarlierRound round{ mRound, mStartedAt, std::exchange(mUnanswered, {}), false };
  std::size_t flows = 0;
  for (const auto& [agent, query] : round.mUnanswered) {
    flows += query.size();
  }
  if (flows > kMaxLateFlows / kMaxEarlierRounds) {
    for (auto& [agent, query] : round.mUnanswered) {
      query.clear(); // the agents are kept, because their silence counts
    }
  }
  if (flows > 0) {
    mEarlierRounds.push_back(std::move(round));
  }
  if (mEarlierRounds.size() > kMaxEarlierRounds) {
    mEarlierRounds.pop_front();
  }
  countUnanswered(aNow);
}

bool LookupQueries::isTimedOut(base::Time aNow) const
{
  return aNow - mStartedAt >= kRoundTimeout;
}

bool LookupQueries::areOnlySilentAgentsLeft(base::Time aNow) const
{
  return std::all_of(mUnanswered.begin(), mUnanswered.end(), [&](const auto& aQuery) {
    return isSilent(aNow, aQuery.first);
  });
}

bool LookupQueries::isSilent(base::Time aNow, flow::Endpoint aAgent) const
{
  const auto silence = mSilences.find(aAgent);
  return silence != mSilences.end() && aNow - silence->second.mLast <= kSilenceGap;
}

bool LookupQueries::hasLongBeenSilent(base::Time aNow, flow::Endpoint aAgent) const
{
  const auto silence = mSilences.find(aAgent);
  return silence != mSilences.end() && silence->second.mQueries >= kMinUnansweredQueries &&
         aNow - silence->second.mSince >= kLongSilence;
}

// Any reply shows that the agent runs, also one that answers no query any more.
LookupQueries::Answer LookupQueries::takeAnswered(base::Time aNow,
                                                  flow::Endpoint aFrom,
                                                  std::uint32_t aRound,
                                                  std::size_t aCount)
{
  mSilences.erase(aFrom);
  Flows* unanswered = aRound == mRound ? &mUnanswered : nullptr;
  base::Time askedAt = mStartedAt;
  for (EarlierRound& round : mEarlierRounds) {
    if (round.mNumber == aRound && aNow - round.mStartedAt <= kReplyLifetime) {
      unanswered = &round.mUnanswered;
      askedAt = round.mStartedAt;
    }
  }
  if (unanswered == nullptr) {
    return {};
  }
  const auto query = unanswered->find(aFrom);
  if (query == unanswered->end() || query->second.size() != aCount) {
    return {};
  }
  Answer answer{ askedAt, std::move(query->second) };
  unanswered->erase(query);
  return answer;
}

void LookupQueries::countUnanswered(base::Time aNow)
{
  // Bounds the memory: agents that are not asked any more may never reply.
  std::erase_if(mSilences,
                [&](const auto& aEntry) { return aNow - aEntry.second.mLast > kSilenceGap; });
  for (EarlierRound& round : mEarlierRounds) {
    if (round.mIsCounted || aNow - round.mStartedAt < kRoundTimeout) {
      continue;
    }
    round.mIsCounted = true;
    for (const auto& [agent, flows] : round.mUnanswered) {
      const Silence first{ round.mStartedAt, round.mStartedAt, 0 };
      Silence& silence = mSilences.try_emplace(agent, first).first->second;
      silence.mLast = std::max(silence.mLast, round.mStartedAt);
      ++silence.mQueries;
    }
  }
}

} // namespace cornelcross::agent
