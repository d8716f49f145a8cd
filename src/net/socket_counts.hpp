#pragma once

#include <compare>
#include <cstdint>

namespace cornelcross::net {

/// @brief Datagrams and bytes of payload that went through a socket.
struct SocketCounts
{
  std::uint64_t mReceived = 0;      ///< datagrams
  std::uint64_t mReceivedBytes = 0; ///< bytes
  std::uint64_t mSent = 0;          ///< datagrams that the kernel took
  std::uint64_t mSentBytes = 0;     ///< bytes that the kernel took
  std::uint64_t mSendFailures = 0;  ///< datagrams that the kernel didn't take

  auto operator<=>(const SocketCounts&) const = default;
};

} // namespace cornelcross::net
