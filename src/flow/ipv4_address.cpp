#include "flow/ipv4_address.hpp"

#include <arpa/inet.h>

namespace cornelcross::flow {

std::string Ipv4Address::toString() const
{
  const in_addr address{ htonl(mValue) };
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address, text, sizeof(text));
  return text;
}

std::optional<Ipv4Address> Ipv4Address::parse(std::string_view aText)
{
  in_addr address{};
  if (inet_pton(AF_INET, std::string(aText).c_str(), &address) != 1) {
    return std::nullopt;
  }
  return Ipv4Address{ ntohl(address.s_addr) };
}

} // namespace cornelcross::flow
