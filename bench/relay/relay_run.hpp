#pragma once

#include <compare>
#include <cstdint>

namespace cornelcross::bench {

/// @brief Cost of one run of a relay.
struct RelayCost
{
  std::uint64_t mPackets = 0;
  double mCpuSeconds = 0; ///< of the relay's thread

  auto operator<=>(const RelayCost&) const = default;

  /// @brief Packets per second of processor time.
  double perCoreSecond() const { return static_cast<double>(mPackets) / mCpuSeconds; }
};

/// @brief Relays generated packets through the balancer's packet path for aSeconds.
RelayCost runBalancer(double aSeconds);

/// @brief Relays them over the same sockets without a decision.
RelayCost runBareRelay(double aSeconds);

} // namespace cornelcross::bench
