#include "membership/failure_detector.hpp"

#include <algorithm>

namespace cornelcross::membership {

namespace {

/// Pairs of source ports that two processes may use with each other.
constexpr std::uint32_t kPortPairs = 4;

} // namespace

FailureDetector::FailureDetector(const FailureDetectorSettings& aSettings) : mSettings(aSettings) {}

void FailureDetector::recordUse(base::Time aNow, flow::Endpoint aPeer)
{
  const auto [found, isNew] = mPeers.try_emplace(aPeer);
  if (isNew) {
    // Unknown isn't silent: the first packet to a peer starts its period of grace.
    found->second.mLastHeard = aNow - mSettings.mSilence;
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
  mSuspects -= peer.mIsSuspected ? 1 : 0;
  peer.mIsSuspected = false;
  peer.mOpenProbes = 0;
  peer.mLastHeard = aNow;
}

bool FailureDetector::isSuspected(flow::Endpoint aPeer) const
{
  if (mSuspects == 0) {
    return false;
  }
  const auto found = mPeers.find(aPeer);
  return found != mPeers.end() && found->second.mIsSuspected;
}

bool FailureDetector::usesAlternatePort(flow::Endpoint aPeer) const
{
  if (!mHasChangedPort) {
    return false;
  }
  const auto found = mPeers.find(aPeer);
  return found != mPeers.end() && found->second.mUsesAlternatePort;
}

// The prober changes its port with each attempt, so that a change with every other one here leads
// to all four pairs.
void FailureDetector::recordProbe(base::Time aNow, flow::Endpoint aPeer, std::uint32_t aAttempt)
{
  if (aAttempt <= mSettings.mMaxMisses) {
    return;
  }
  const auto [found, isNew] = mPeers.try_emplace(aPeer);
  if (isNew) {
    found->second.mLastHeard = aNow;
  }
  const bool usesSpare = (aAttempt / 2) % 2 == 1;
  found->second.mUsesAlternatePort = usesSpare;
  mHasChangedPort = mHasChangedPort || usesSpare;
}

std::uint32_t FailureDetector::unansweredProbes(flow::Endpoint aPeer) const
{
  const auto found = mPeers.find(aPeer);
  return found == mPeers.end() ? 0 : found->second.mOpenProbes;
}

bool FailureDetector::isUnreachable(base::Time aNow, flow::Endpoint aPeer) const
{
  return isSuspected(aPeer) &&
         aNow - mPeers.find(aPeer)->second.mSuspectedSince > mSettings.mDeadAfter;
}

std::size_t FailureDetector::moveSuspectsLast(std::vector<flow::Endpoint>& aPeers,
                                              std::size_t aFrom) const
{
  if (mSuspects == 0) {
    return 0;
  }
  const auto first = aPeers.begin() + static_cast<std::ptrdiff_t>(aFrom);
  const auto suspects = std::stable_partition(
    first, aPeers.end(), [&](flow::Endpoint aPeer) { return !isSuspected(aPeer); });
  std::stable_sort(suspects, aPeers.end(), [&](flow::Endpoint aLeft, flow::Endpoint aRight) {
    return mPeers.find(aLeft)->second.mLastHeard > mPeers.find(aRight)->second.mLastHeard;
  });
  return static_cast<std::size_t>(aPeers.end() - suspects);
}

bool FailureDetector::isDue(base::Time aNow, const Peer& aPeer) const
{
  const bool isUsed = aPeer.mIsSuspected || aPeer.mLastUsed >= aPeer.mLastHeard;
  if (!isUsed || aNow - aPeer.mLastHeard < mSettings.mSilence) {
    return false;
  }
  const bool hasTriedPorts = aPeer.mOpenProbes > mSettings.mMaxMisses + kPortPairs;
  const base::Duration interval =
    aPeer.mIsSuspected && hasTriedPorts ? mSettings.mSuspectInterval : mSettings.mProbeTimeout;
  return aPeer.mOpenProbes == 0 || aNow - aPeer.mLastProbe >= interval;
}

void FailureDetector::forgetUnused(base::Time aNow)
{
  std::erase_if(mPeers, [&](const auto& aEntry) {
    const bool isUnused = aNow - aEntry.second.mLastUsed > mSettings.mForgetAfter;
    mSuspects -= isUnused && aEntry.second.mIsSuspected ? 1 : 0;
    return isUnused;
  });
}

std::size_t FailureDetector::takeBudget(base::Time aNow, std::size_t aWanted)
{
  if (aNow - mBudgetSince >= std::chrono::seconds(1)) {
    mBudgetSince = aNow;
    mBudgetUsed = 0;
  }
  const std::size_t left = mSettings.mMaxProbesPerSecond - mBudgetUsed;
  const std::size_t granted = std::min(aWanted, left);
  mBudgetUsed += granted;
  return granted;
}

void FailureDetector::probe(base::Time aNow, Peer& aPeer)
{
  if (!aPeer.mIsSuspected && aPeer.mOpenProbes >= mSettings.mMaxMisses) {
    aPeer.mIsSuspected = true;
    aPeer.mSuspectedSince = aNow;
    ++mSuspects;
  }
  if (aPeer.mIsSuspected) {
    aPeer.mUsesAlternatePort = !aPeer.mUsesAlternatePort;
    mHasChangedPort = true;
  }
  ++aPeer.mOpenProbes;
  aPeer.mLastProbe = aNow;
}

std::vector<flow::Endpoint> FailureDetector::selectProbeTargets(base::Time aNow)
{
  if (mLastRun && aNow - *mLastRun > mSettings.mMaxGap) {
    mPeers.clear();
    mSuspects = 0;
  }
  mLastRun = aNow;
  forgetUnused(aNow);
  std::vector<flow::Endpoint> due;
  for (const auto& [endpoint, peer] : mPeers) {
    if (isDue(aNow, peer)) {
      due.push_back(endpoint);
    }
  }
  // Open probes first, so that a bound on probes delays a first probe and never a verdict.
  std::sort(due.begin(), due.end(), [&](flow::Endpoint aLeft, flow::Endpoint aRight) {
    const Peer& left = mPeers.find(aLeft)->second;
    const Peer& right = mPeers.find(aRight)->second;
    const bool isLeftOpen = left.mOpenProbes > 0 && !left.mIsSuspected;
    const bool isRightOpen = right.mOpenProbes > 0 && !right.mIsSuspected;
    if (isLeftOpen != isRightOpen) {
      return isLeftOpen;
    }
    return left.mLastProbe != right.mLastProbe ? left.mLastProbe < right.mLastProbe
                                               : aLeft < aRight;
  });
  due.resize(takeBudget(aNow, due.size()));
  for (const flow::Endpoint endpoint : due) {
    probe(aNow, mPeers.find(endpoint)->second);
  }
  mProbes += due.size();
  return due;
}

} // namespace cornelcross::membership
