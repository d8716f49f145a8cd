#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelcross::flow {

/// @brief IPv4 address in host byte order.
struct Ipv4Address
{
  std::uint32_t mValue = 0;

  auto operator<=>(const Ipv4Address&) const = default;

  /// @brief Dotted decimal form.
  std::string toString() const;

  /// @brief Parses dotted decimal form. Returns empty on any other input.
  static std::optional<Ipv4Address> parse(std::string_view aText);

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mValue);
  }
};

} // namespace cornelcross::flow
