#include "scenarios/runner/address_range.hpp"

#include <arpa/inet.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace cornelcross::scenarios {

namespace {

constexpr std::uint32_t kFirstAddress = 0x7F210000; // 127.33.0.0
constexpr unsigned kRangeCount = 256;
// A socket that is bound to this endpoint of a range reserves the range.
constexpr unsigned kLockHost = 254;
constexpr std::uint16_t kLockPort = 6999;

} // namespace

AddressRange::AddressRange() : mLockSocket(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
{
  const auto first = static_cast<unsigned>(getpid()) % kRangeCount;
  for (unsigned i = 0; i < kRangeCount; ++i) {
    mRangeNumber = (first + i) % kRangeCount;
    const flow::Endpoint lock = endpoint(kLockHost, kLockPort);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(lock.mPort);
    address.sin_addr.s_addr = htonl(lock.mAddress.mValue);
    if (bind(mLockSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
      return;
    }
  }
  throw std::runtime_error("every range of loopback addresses is reserved");
}

AddressRange::~AddressRange()
{
  close(mLockSocket);
}

flow::Endpoint AddressRange::endpoint(unsigned aHostNumber, std::uint16_t aPort) const
{
  return { { kFirstAddress + mRangeNumber * 256 + aHostNumber }, aPort };
}

} // namespace cornelcross::scenarios
