#pragma once

#include "bench/common/sample_service.hpp"
#include "flow/byte_order.hpp"
#include "flow/packet_edit.hpp"

namespace cornelcross::bench {

/// @brief A caller's segment of aPayload bytes in flow number aFlow.
inline flow::Bytes samplePacket(std::uint32_t aFlow, std::size_t aPayload, std::uint8_t aFlags)
{
  constexpr std::size_t kIpHeader = 20;
  constexpr std::size_t kTcpHeader = 20;
  constexpr std::uint32_t kFirstCaller = 0x0A000001; // 10.0.0.1
  constexpr std::uint32_t kPorts = 60000;
  flow::Bytes bytes(kIpHeader + kTcpHeader + aPayload);
  const std::span<std::byte> out(bytes);
  out[0] = std::byte{ 0x45 };
  flow::write16(out, 2, static_cast<std::uint16_t>(out.size()));
  out[8] = std::byte{ 64 };
  out[9] = std::byte{ 6 };
  flow::write32(out, 12, kFirstCaller + aFlow / kPorts);
  flow::write32(out, 16, kServiceAddress.mAddress.mValue);
  const auto tcp = out.subspan(kIpHeader);
  flow::write16(tcp, 0, static_cast<std::uint16_t>(1024 + aFlow % kPorts));
  flow::write16(tcp, 2, kServiceAddress.mPort);
  flow::write32(tcp, 4, 1);
  tcp[12] = std::byte{ (kTcpHeader / 4) << 4U };
  tcp[13] = std::byte{ aFlags };
  flow::updateChecksums(out, kIpHeader);
  return bytes;
}

} // namespace cornelcross::bench
