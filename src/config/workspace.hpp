#pragma once

#include "flow/ipv4_address.hpp"

#include <string>
#include <vector>

namespace cornelcross::config {

/// @brief IPv4 prefix in CIDR form.
struct Prefix
{
  flow::Ipv4Address mAddress;
  std::uint8_t mLength = 0; ///< number of network bits, 0 to 32

  auto operator<=>(const Prefix&) const = default;

  /// @brief True if the prefix covers aAddress.
  bool contains(flow::Ipv4Address aAddress) const;

  /// @brief Parses "a.b.c.d/n". Returns empty on any other input and if a host bit is set.
  static std::optional<Prefix> parse(std::string_view aText);

  /// @brief The text "a.b.c.d/n".
  std::string toString() const { return mAddress.toString() + "/" + std::to_string(mLength); }
};

/// @brief A customer, identified by the source addresses of its callers.
struct Workspace
{
  std::string mName;
  std::vector<Prefix> mPrefixes;

  auto operator<=>(const Workspace&) const = default;
};

} // namespace cornelcross::config
