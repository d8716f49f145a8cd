#pragma once

#include "flow/packet_edit.hpp"
#include "membership/control_budget.hpp"

#include <array>
#include <deque>
#include <vector>

namespace cornelcross::membership {

/// @brief A control datagram that is to be sent.
struct ControlDatagram
{
  ControlKind mKind = ControlKind::kHeartbeat;
  flow::Endpoint mTo;
  flow::Bytes mBytes;

  auto operator<=>(const ControlDatagram&) const = default;
};

/// @brief Lets control datagrams pass while the budget lasts. Over it they wait, the least
/// important kind first, and each kind drops its oldest when too many wait.
class ControlQueue
{
public:
  explicit ControlQueue(ControlBudget& aBudget) : mBudget(aBudget) {}

  /// @brief Takes a datagram. @return what may be sent now, in its order
  std::vector<ControlDatagram> offer(base::Time aNow, ControlDatagram aDatagram);

  /// @brief What may be sent now of those that wait.
  std::vector<ControlDatagram> drain(base::Time aNow);

  /// @brief Datagrams of aKind that wait.
  std::size_t waiting(ControlKind aKind) const
  {
    return mWaiting[static_cast<std::size_t>(aKind)].size();
  }

  /// @brief Datagrams dropped so far.
  std::uint64_t dropped() const { return mDropped; }

private:
  ControlBudget& mBudget;
  std::array<std::deque<ControlDatagram>, kControlKinds> mWaiting;
  std::uint64_t mDropped = 0;
};

/// @brief Bytes of the IP and UDP headers of a datagram.
inline constexpr std::size_t kDatagramHeaders = 28;

/// @brief Bytes that a datagram takes on the network: its own with the IP and UDP headers.
std::size_t networkBytes(const ControlDatagram& aDatagram);

} // namespace cornelcross::membership
