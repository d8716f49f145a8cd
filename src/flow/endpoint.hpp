#pragma once

#include "flow/ipv4_address.hpp"

namespace cornelcross::flow {

/// @brief IPv4 address and port.
struct Endpoint
{
  Ipv4Address mAddress;
  std::uint16_t mPort = 0;

  auto operator<=>(const Endpoint&) const = default;

  /// @brief The text "address:port".
  std::string toString() const;

  /// @brief Parses "address:port" with a port of 1 to 65535. Returns empty on any other input.
  static std::optional<Endpoint> parse(std::string_view aText);

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAddress, mPort);
  }
};

/// @brief Hash functor for unordered containers.
struct EndpointHash
{
  std::size_t operator()(const Endpoint& aEndpoint) const
  {
    const std::uint64_t value =
      (std::uint64_t{ aEndpoint.mAddress.mValue } << 16U) | aEndpoint.mPort;
    return value * 0x9E3779B97F4A7C15ULL;
  }
};

} // namespace cornelcross::flow
