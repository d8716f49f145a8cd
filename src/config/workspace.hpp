#pragma once

#include "flow/ipv4_address.hpp"

#include <string>
#include <vector>

namespace cornelcross::config {

/// @brief IPv4 prefix in CIDR form.
struct Prefix
{
  flow::Ipv4Address mAddress;
  std::uint8_t mLength = 0; ///< bits, 0 to 32

  auto operator<=>(const Prefix&) const = default;

  /// @brief True if aAddress lies in the prefix.
  bool contains(flow::Ipv4Address aAddress) const;

  /// @brief Parses "a.b.c.d/n" without host bits; empty on any other input.
  static std::optional<Prefix> parse(std::string_view aText);

  /// @brief "a.b.c.d/n".
  std::string toString() const { return mAddress.toString() + "/" + std::to_string(mLength); }
};

/// @brief A customer, known by the addresses that its callers come from.
struct Workspace
{
  std::string mName;
  std::vector<Prefix> mPrefixes;

  auto operator<=>(const Workspace&) const = default;
};

} // namespace cornelcross::config
