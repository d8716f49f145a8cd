#pragma once

#include <compare>
#include <cstdint>

namespace cornelcross::net {

/// @brief Datagrams and payload bytes that a socket received and sent.
struct SocketCounts
{
  std::uint64_t mReceivedDatagrams = 0;
  std::uint64_t mReceivedBytes = 0;
  std::uint64_t mSentDatagrams = 0; ///< datagrams that the kernel accepted
  std::uint64_t mSentBytes = 0;     ///< bytes that the kernel accepted
  std::uint64_t mSendFailures = 0;  ///< datagrams that the kernel rejected

  auto operator<=>(const SocketCounts&) const = default;
};

} // namespace cornelcross::net
