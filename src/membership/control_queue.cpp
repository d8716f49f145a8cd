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
  auto& queue = mQueues[static_cast<std::size_t>(aDatagram.mKind)];
  queue.push_back(std::move(aDatagram));
  if (queue.size() > kMaxQueuedPerKind) {
    // The oldest datagram is the most stale: a newer load report or heartbeat supersedes it.
    queue.pop_front();
    ++mDroppedCount;
  }
  return dequeueReady(aNow);
}

std::vector<ControlDatagram> ControlQueue::dequeueReady(base::Time aNow)
{
  std::vector<ControlDatagram> ready;
  for (auto& queue : mQueues) {
    while (!queue.empty() &&
           mBudget.tryConsume(aNow, queue.front().mKind, networkBytes(queue.front()))) {
      ready.push_back(std::move(queue.front()));
      queue.pop_front();
    }
  }
  return ready;
}

} // namespace cornelcross::membership
