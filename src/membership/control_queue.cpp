#include "membership/control_queue.hpp"

namespace cornelcross::membership {

namespace {

constexpr std::size_t kMaxWaiting = 256; // datagrams of a kind

} // namespace

std::size_t networkBytes(const ControlDatagram& aDatagram)
{
  return aDatagram.mBytes.size() + kDatagramHeaders;
}

std::vector<ControlDatagram> ControlQueue::offer(base::Time aNow, ControlDatagram aDatagram)
{
  auto& waiting = mWaiting[static_cast<std::size_t>(aDatagram.mKind)];
  waiting.push_back(std::move(aDatagram));
  if (waiting.size() > kMaxWaiting) {
    // The oldest is the least true: a newer report or heartbeat follows it.
    waiting.pop_front();
    ++mDropped;
  }
  return drain(aNow);
}

std::vector<ControlDatagram> ControlQueue::drain(base::Time aNow)
{
  std::vector<ControlDatagram> ready;
  for (auto& waiting : mWaiting) {
    while (!waiting.empty() &&
           mBudget.take(aNow, waiting.front().mKind, networkBytes(waiting.front()))) {
      ready.push_back(std::move(waiting.front()));
      waiting.pop_front();
    }
  }
  return ready;
}

} // namespace cornelcross::membership
