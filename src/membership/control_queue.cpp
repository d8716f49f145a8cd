#include "membership/control_queue.hpp"

namespace cornelcross::membership {

namespace {

constexpr std::size_t kMaxQueuedPerKind = 256; // datagrams

} // namespace

std::size_t networkBytes(const ControlDatagram& aDatagram)
{
  return aDatagram.mBytes.size() + kDatagramHeaderBytes;
}

std::vector<ControlDatagram> ControlQueue::enqueue(base::Time aNow, ControlDatagram aDatagram)
{
  auto& queuedCount = mQueues[static_cast<std::size_t>(aDatagram.mKind)];
  queuedCount.push_back(std::move(aDatagram));
  if (queuedCount.size() > kMaxQueuedPerKind) {
    // The oldest datagram is the most stale: a newer load report or heartbeat supersedes it.
    queuedCount.pop_front();
    ++mDroppedCount;
  }
  return dequeueReady(aNow);
}

std::vector<ControlDatagram> ControlQueue::dequeueReady(base::Time aNow)
{
  std::vector<ControlDatagram> ready;
  for (auto& queuedCount : mQueues) {
    while (!queuedCount.empty() &&
           mBudget.tryConsume(aNow, queuedCount.front().mKind, networkBytes(queuedCount.front()))) {
      ready.push_back(std::move(queuedCount.front()));
      queuedCount.pop_front();
    }
  }
  return ready;
}

} // namespace cornelcross::membership
