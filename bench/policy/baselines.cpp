#include "bench/policy/baselines.hpp"

#include "flow/flow_key.hpp"

namespace cornelcross::bench {

namespace {

/// Entries of the lookup table: a prime number, well above the number of upstreams.
constexpr std::size_t kTableSize = 4099;

std::vector<std::size_t> eligibleRanks(const Service& aService, const Flow& aFlow)
{
  std::vector<std::size_t> ranks;
  for (const std::size_t index : aFlow.mRanks) {
    if (aService.mIsEligible[index]) {
      ranks.push_back(index);
    }
  }
  return ranks;
}

} // namespace

void FirstRank::open(const FlowPtr& aFlow)
{
  const auto ranks = eligibleRanks(mService, *aFlow);
  ranks.empty() ? mService.mRefuse(aFlow) : mService.mAdmit(aFlow, ranks.front());
}

LeastOfTwo::LeastOfTwo(Service& aService, const ReportChannel& aChannel)
  : Policy(aService), mChannel(aChannel), mReported(aService.mUpstreams.size())
{
  report();
}

void LeastOfTwo::open(const FlowPtr& aFlow)
{
  const auto ranks = eligibleRanks(mService, *aFlow);
  if (ranks.empty()) {
    mService.mRefuse(aFlow);
    return;
  }
  const std::size_t second = ranks.size() > 1 ? ranks[1] : ranks[0];
  mService.mAdmit(aFlow, mReported[second] < mReported[ranks[0]] ? second : ranks[0]);
}

void LeastOfTwo::report()
{
  for (std::size_t i = 0; i < mReported.size(); ++i) {
    if (!mService.mRandom.happens(mChannel.mLoss)) {
      const std::uint32_t load = mService.mUpstreams[i].load();
      mService.mEvents.after(mChannel.mDelay, [this, i, load] { mReported[i] = load; });
    }
  }
  mService.mEvents.after(mChannel.mInterval, [this] { report(); });
}

LookupTable::LookupTable(Service& aService) : Policy(aService)
{
  LookupTable::reconfigured();
}

void LookupTable::open(const FlowPtr& aFlow)
{
  mTable.empty() ? mService.mRefuse(aFlow)
                 : mService.mAdmit(aFlow, mTable[aFlow->mHash % kTableSize]);
}

void LookupTable::reconfigured()
{
  constexpr std::size_t kFree = ~std::size_t{ 0 };
  std::vector<std::size_t> members;
  for (std::size_t i = 0; i < mService.mIsEligible.size(); ++i) {
    if (mService.mIsEligible[i]) {
      members.push_back(i);
    }
  }
  mTable.assign(members.empty() ? 0 : kTableSize, kFree);
  std::vector<std::size_t> next(mService.mIsEligible.size());
  for (std::size_t filled = 0; filled < mTable.size();) {
    for (std::size_t i = 0; i < members.size() && filled < mTable.size(); ++i) {
      const std::size_t member = members[i];
      const std::size_t hash =
        flow::FlowKey{ { { 1 }, 1 }, { { static_cast<std::uint32_t>(member) }, 1 } }.hash();
      const std::size_t skip = hash / kTableSize % (kTableSize - 1) + 1;
      std::size_t slot = 0;
      do {
        slot = (hash + next[member]++ * skip) % kTableSize;
      } while (mTable[slot] != kFree);
      mTable[slot] = member;
      ++filled;
    }
  }
}

} // namespace cornelcross::bench
