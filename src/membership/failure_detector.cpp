#include "membership/failure_detector.hpp"

#include <algorithm>

namespace cornelcross::membership {

namespace {

/// Number of pairs of source ports that two processes can use with each other: two ports each.
constexpr std::uint32_t kPortPairs = 4;

} // namespace

FailureDetector::FailureDetector(const FailureDetectorSettings& aSettings) : mSettings(aSettings) {}

void FailureDetector::recordUse(base::Time aNow, flow::Endpoint aPeer)
{
  const auto [found, isNew] = mPeers.try_emplace(aPeer);
  if (isNew) {
    // A new peer counts as silent for exactly mSilenceBeforeProbe, so that its first probe is due
    // at once and its suspicion still takes mMaxUnansweredProbes probes.
    found->second.mLastReply = aNow - mSettings.mSilenceBeforeProbe;
  }
  found->second.mLastUsed = aNow;
}

void FailureDetector::recordReply(base::Time aNow, flow::Endpoint aPeer)
{
  const auto found = mPeers.find(aPeer);
  if (found == mPeers.end()) {
    return;
  }
  Peer& peer = found->second;
  mSuspectCount -= peer.mIsSuspected ? 1 : 0;
  peer.mIsSuspected = false;
  peer.mUnansweredProbes = 0;
  peer.mLastReply = aNow;
}

bool FailureDetector::isSuspected(flow::Endpoint aPeer) const
{
  if (mSuspectCount == 0) {
    return false;
  }
  const auto found = mPeers.find(aPeer);
  return found != mPeers.end() && found->second.mIsSuspected;
}

bool FailureDetector::usesAlternatePort(flow::Endpoint aPeer) const
{
  if (!mHasUsedAlternatePort) {
    return false;
  }
  const auto found = mPeers.find(aPeer);
  return found != mPeers.end() && found->second.mUsesAlternatePort;
}

// The probing peer changes its port with each attempt. A change of the port here with every second
// attempt makes the two processes try all four pairs of ports.
void FailureDetector::recordProbe(base::Time aNow, flow::Endpoint aPeer, std::uint32_t aAttempt)
{
  if (aAttempt <= mSettings.mMaxUnansweredProbes) {
    return;
  }
  const auto [found, isNew] = mPeers.try_emplace(aPeer);
  if (isNew) {
    found->second.mLastReply = aNow;
  }
  const bool usesAlternate = (aAttempt / 2) % 2 == 1;
  found->second.mUsesAlternatePort = usesAlternate;
  mHasUsedAlternatePort = mHasUsedAlternatePort || usesAlternate;
}

std::uint32_t FailureDetector::unansweredProbes(flow::Endpoint aPeer) const
{
  const auto found = mPeers.find(aPeer);
  return found == mPeers.end() ? 0 : found->second.mUnansweredProbes;
}

bool FailureDetector::isUnreachable(base::Time aNow, flow::Endpoint aPeer) const
{
  return isSuspected(aPeer) &&
         aNow - mPeers.find(aPeer)->second.mSuspectedSince > mSettings.mUnreachableAfter;
}

std::size_t FailureDetector::moveSuspectsLast(std::vector<flow::Endpoint>& aPeers,
                                              std::size_t aFrom) const
{
  if (mSuspectCount == 0) {
    return 0;
  }
  const auto first = aPeers.begin() + static_cast<std::ptrdiff_t>(aFrom);
  const auto suspects = std::stable_partition(
    first, aPeers.end(), [&](flow::Endpoint aPeer) { return !isSuspected(aPeer); });
  std::stable_sort(suspects, aPeers.end(), [&](flow::Endpoint aLeft, flow::Endpoint aRight) {
    return mPeers.find(aLeft)->second.mLastReply > mPeers.find(aRight)->second.mLastReply;
  });
  return static_cast<std::size_t>(aPeers.end() - suspects);
}

bool FailureDetector::isDue(base::Time aNow, const Peer& aPeer) const
{
  const bool isUsed = aPeer.mIsSuspected || aPeer.mLastUsed >= aPeer.mLastReply;
  if (!isUsed || aNow - aPeer.mLastReply < mSettings.mSilenceBeforeProbe) {
    return false;
  }
  const bool hasTriedPorts = aPeer.mUnansweredProbes > mSettings.mMaxUnansweredProbes + kPortPairs;
  const base::Duration interval =
    aPeer.mIsSuspected && hasTriedPorts ? mSettings.mSuspectProbeInterval : mSettings.mProbeTimeout;
  return aPeer.mUnansweredProbes == 0 || aNow - aPeer.mLastProbe >= interval;
}

void FailureDetector::removeUnused(base::Time aNow)
{
  std::erase_if(mPeers, [&](const auto& aEntry) {
    const bool isUnused = aNow - aEntry.second.mLastUsed > mSettings.mUnusedTimeout;
    mSuspectCount -= isUnused && aEntry.second.mIsSuspected ? 1 : 0;
    return isUnused;
  });
}

std::size_t FailureDetector::takeProbeBudget(base::Time aNow, std::size_t aWanted)
{
  if (aNow - mBudgetPeriodStart >= std::chrono::seconds(1)) {
    mBudgetPeriodStart = aNow;
    mBudgetUsedProbes = 0;
  }
  const std::size_t remaining = mSettings.mMaxProbesPerSecond - mBudgetUsedProbes;
  const std::size_t granted = std::min(aWanted, remaining);
  mBudgetUsedProbes += granted;
  return granted;
}

void FailureDetector::recordProbeSent(base::Time aNow, Peer& aPeer)
{
  if (!aPeer.mIsSuspected && aPeer.mUnansweredProbes >= mSettings.mMaxUnansweredProbes) {
    aPeer.mIsSuspected = true;
    aPeer.mSuspectedSince = aNow;
    ++mSuspectCount;
  }
  if (aPeer.mIsSuspected) {
    aPeer.mUsesAlternatePort = !aPeer.mUsesAlternatePort;
    mHasUsedAlternatePort = true;
  }
  ++aPeer.mUnansweredProbes;
  aPeer.mLastProbe = aNow;
}

std::vector<flow::Endpoint> FailureDetector::selectProbeTargets(base::Time aNow)
{
  if (mLastRun && aNow - *mLastRun > mSettings.mPauseThreshold) {
    mPeers.clear();
    mSuspectCount = 0;
  }
  mLastRun = aNow;
  removeUnused(aNow);
  std::vector<flow::Endpoint> due;
  for (const auto& [endpoint, peer] : mPeers) {
    if (isDue(aNow, peer)) {
      due.push_back(endpoint);
    }
  }
  // Peers with unanswered probes that are not suspected yet come first, so that the limit on probes
  // delays first probes but never a suspicion.
  std::sort(due.begin(), due.end(), [&](flow::Endpoint aLeft, flow::Endpoint aRight) {
    const Peer& left = mPeers.find(aLeft)->second;
    const Peer& right = mPeers.find(aRight)->second;
    const bool isLeftUndecided = left.mUnansweredProbes > 0 && !left.mIsSuspected;
    const bool isRightUndecided = right.mUnansweredProbes > 0 && !right.mIsSuspected;
    if (isLeftUndecided != isRightUndecided) {
      return isLeftUndecided;
    }
    return left.mLastProbe != right.mLastProbe ? left.mLastProbe < right.mLastProbe
                                               : aLeft < aRight;
  });
  due.resize(takeProbeBudget(aNow, due.size()));
  for (const flow::Endpoint endpoint : due) {
    recordProbeSent(aNow, mPeers.find(endpoint)->second);
  }
  mProbesSent += due.size();
  return due;
}

} // namespace cornelcross::membership
