#include "config/workspace.hpp"

#include <charconv>

namespace cornelcross::config {

namespace {

constexpr std::uint8_t kAddressBits = 32;

std::uint32_t networkMask(std::uint8_t aLength)
{
  return aLength == 0 ? 0 : ~std::uint32_t{ 0 } << (kAddressBits - aLength);
}

} // namespace

bool Prefix::contains(flow::Ipv4Address aAddress) const
{
  return (aAddress.mValue & networkMask(mLength)) == mAddress.mValue;
}

std::optional<Prefix> Prefix::parse(std::string_view aText)
{
  const auto slash = aText.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto address = flow::Ipv4Address::parse(aText.substr(0, slash));
  const std::string_view digits = aText.substr(slash + 1);
  std::uint8_t length = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), length);
  const bool isComplete = parsed.ec == std::errc{} && parsed.ptr == digits.data() + digits.size();
  if (!address || !isComplete || length > kAddressBits) {
    return std::nullopt;
  }
  if ((address->mValue & ~networkMask(length)) != 0) {
    return std::nullopt;
  }
  return Prefix{ *address, length };
}

} // namespace cornelcross::config
