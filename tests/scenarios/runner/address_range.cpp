#include "scenarios/runner/address_range.hpp"

#include <arpa/inet.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace cornelcross::scenarios {

namespace {

constexpr std::uint32_t kFirstAddress = 0x7F210000; // 127.33.0.0
constexpr unsigned kRanges = 256;
constexpr unsigned kLockHost = 254;
constexpr std::uint16_t kLockPort = 6999;

} // namespace

AddressRange::AddressRange() : mLock(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
{
  const auto first = static_cast<unsigned>(getpid()) % kRanges;
  for (unsigned i = 0; i < kRanges; ++i) {
    mRange = (first + i) % kRanges;
    const flow::Endpoint lock = at(kLockHost, kLockPort);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(lock.mPort);
    address.sin_addr.s_addr = htonl(lock.mAddress.mValue);
    if (bind(mLock, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
      return;
    }
  }
  throw std::runtime_error("every range of loopback addresses is taken");
}

AddressRange::~AddressRange()
{
  close(mLock);
}

flow::Endpoint AddressRange::at(unsigned aHost, std::uint16_t aPort) const
{
  return { { kFirstAddress + mRange * 256 + aHost }, aPort };
}

} // namespace cornelcross::scenarios
