#pragma once

#include "flow/packet_edit.hpp"
#include "membership/control_budget.hpp"

#include <array>
#include <deque>
#include <vector>

namespace cornelcross::membership {

/// @brief A control message, encoded for sending.
struct ControlDatagram
{
  ControlKind mKind = ControlKind::kHeartbeat;
  flow::Endpoint mTo;
  flow::Bytes mBytes;

  auto operator<=>(const ControlDatagram&) const = default;
};

/// @brief Queues control datagrams that exceed the budget, one bounded queue for each kind. Kinds
/// of higher priority leave first; a full queue drops its oldest datagram.
class ControlQueue
{
public:
  explicit ControlQueue(ControlBudget& aBudget) : mBudget(aBudget) {}

  /// @brief Queues a datagram.
  /// @return datagrams that the budget admits now, in the order in which to send them
  std::vector<ControlDatagram> enqueue(base::Time aNow, ControlDatagram aDatagram);

  /// @brief Removes and returns the queued datagrams that the budget admits now.
  std::vector<ControlDatagram> dequeueReady(base::Time aNow);

  /// @brief Number of queued datagrams of aKind.
  std::size_t queuedCount(ControlKind aKind) const
  {
    return mQueues[static_cast<std::size_t>(aKind)].size();
  }

  /// @brief Number of datagrams dropped from full queues so far.
  std::uint64_t droppedCount() const { return mDroppedCount; }

private:
  ControlBudget& mBudget;
  std::array<std::deque<ControlDatagram>, kControlKinds> mQueues;
  std::uint64_t mDroppedCount = 0;
};

/// @brief Bytes of the IPv4 and UDP headers of a datagram.
inline constexpr std::size_t kDatagramHeaderBytes = 28;

/// @brief Size of a datagram on the network in bytes, with the IP and UDP headers.
std::size_t networkBytes(const ControlDatagram& aDatagram);

} // namespace cornelcross::membership
