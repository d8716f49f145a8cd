#include "bench/policy/upstream_queue.hpp"

#include <algorithm>

namespace cornelcross::bench {

namespace {

/// Jobs that wait before others are shed.
constexpr std::size_t kMaxWaiting = 64;

} // namespace

void UpstreamQueue::start(base::Duration aWork, std::function<void(bool)> aDone)
{
  if (mWaiting.size() >= kMaxWaiting) {
    aDone(false);
    return;
  }
  integrate();
  mWaiting.push_back({ aWork, std::move(aDone) });
  if (isCold()) {
    mColdPeak = std::max(mColdPeak, load());
  }
  startNext();
}

void UpstreamQueue::restart(base::Duration aLength, std::uint32_t aBears)
{
  integrate();
  ++mIncarnation;
  mWaiting.clear();
  mRunning = 0;
  mColdUntil = mEvents.now() + aLength;
  mColdSlots = aBears;
}

double UpstreamQueue::takeMeanLoad()
{
  integrate();
  const double seconds = std::chrono::duration<double>(mEvents.now() - mTaken).count();
  const double mean = seconds > 0 ? mIntegral / seconds : 0;
  mIntegral = 0;
  mTaken = mEvents.now();
  return mean;
}

void UpstreamQueue::startNext()
{
  while (!mWaiting.empty() && mRunning < bears()) {
    const Job job = std::move(mWaiting.front());
    mWaiting.pop_front();
    ++mRunning;
    mEvents.after(job.mWork, [this, done = job.mDone, incarnation = mIncarnation] {
      if (incarnation != mIncarnation) {
        return;
      }
      integrate();
      --mRunning;
      done(true);
      startNext();
    });
  }
}

void UpstreamQueue::integrate()
{
  const double seconds = std::chrono::duration<double>(mEvents.now() - mIntegrated).count();
  mIntegral += seconds * load();
  mIntegrated = mEvents.now();
}

} // namespace cornelcross::bench
