#pragma once

#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

/// @brief Stand-ins of the platform for the scripts of the second review.
namespace review {

/// Seconds since the start of the stand-in.
inline double now()
{
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline std::uint64_t wallClockMs()
{
  const auto time = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

/// @brief Writes what was sent, answered and run, one event a line.
class Record
{
public:
  explicit Record(const std::string& aPath) : mFile(std::fopen(aPath.c_str(), "we"))
  {
    if (mFile == nullptr) {
      throw std::runtime_error("cannot write " + aPath);
    }
  }
  ~Record() { std::fclose(mFile); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void line(const std::string& aText) { std::fprintf(mFile, "%9.3f %s\n", now(), aText.c_str()); }

private:
  std::FILE* mFile;
};

/// Ports of the deployment, the same on all machines.
struct Ports
{
  static constexpr std::uint16_t kPacket = 8172;
  static constexpr std::uint16_t kReadiness = 8167;
  static constexpr std::uint16_t kControl = 8166;
  static constexpr std::uint16_t kOutbound = 8162;
  static constexpr std::uint16_t kBackend = 8165;
  static constexpr std::uint16_t kStore = 8169;
};

inline std::string textOf(std::uint32_t aAddress)
{
  return std::to_string(aAddress >> 24U) + "." + std::to_string((aAddress >> 16U) & 255U) + "." +
         std::to_string((aAddress >> 8U) & 255U) + "." + std::to_string(aAddress & 255U);
}

inline std::string textOf(std::uint32_t aAddress, std::uint16_t aPort)
{
  return textOf(aAddress) + ":" + std::to_string(aPort);
}

inline sockaddr_in socketAddress(std::uint32_t aAddress, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aAddress);
  address.sin_port = htons(aPort);
  return address;
}

/// Opens a socket bound to a loopback address. @throws std::runtime_error if that fails
inline int openSocket(int aType, std::uint32_t aAddress, std::uint16_t aPort)
{
  const int fd = socket(AF_INET, aType | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = socketAddress(aAddress, aPort);
  const bool isBound = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  const bool isReady = isBound && (aType != SOCK_STREAM || listen(fd, 128) == 0);
  if (!isReady) {
    close(fd);
    throw std::runtime_error("cannot bind " + textOf(aAddress, aPort));
  }
  return fd;
}

inline void sendTo(int aFd, std::uint32_t aAddress, std::uint16_t aPort, const std::string& aBytes)
{
  const sockaddr_in address = socketAddress(aAddress, aPort);
  sendto(aFd,
         aBytes.data(),
         aBytes.size(),
         MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr*>(&address),
         sizeof(address));
}

/// Calls aHandle(bytes) for each datagram that waits.
template<class Handle>
void receiveAll(int aFd, const Handle& aHandle)
{
  std::vector<char> buffer(2048);
  for (;;) {
    const ssize_t size = recv(aFd, buffer.data(), buffer.size(), 0);
    if (size < 0) {
      return;
    }
    aHandle(std::string(buffer.data(), static_cast<std::size_t>(size)));
  }
}

} // namespace review
