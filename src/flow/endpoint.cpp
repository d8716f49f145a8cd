#include "flow/endpoint.hpp"

#include <charconv>

namespace cornelcross::flow {

std::string Endpoint::toString() const
{
  return mAddress.toString() + ":" + std::to_string(mPort);
}

std::optional<Endpoint> Endpoint::parse(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto address = Ipv4Address::parse(aText.substr(0, colon));
  const std::string_view digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool isComplete = parsed.ec == std::errc{} && parsed.ptr == digits.data() + digits.size();
  if (!address || !isComplete || port == 0) {
    return std::nullopt;
  }
  return Endpoint{ *address, port };
}

} // namespace cornelcross::flow
