#include "flow/packet_edit.hpp"

#include "base/safety_mechanisms.hpp"
#include "flow/byte_order.hpp"

namespace cornelcross::flow {

namespace {

constexpr std::size_t kIpHeaderBytes = 20;  // without options
constexpr std::size_t kTcpHeaderBytes = 20; // without options
constexpr std::uint8_t kDefaultTtl = 64;
constexpr std::uint8_t kProtocolTcp = 6;
constexpr std::uint8_t kOptionEnd = 0;
constexpr std::uint8_t kOptionNop = 1;
constexpr std::uint8_t kOptionMss = 2;

/// Adds the 16-bit words of aBytes to aSum, for the Internet checksum (RFC 1071).
std::uint64_t addWords(std::span<const std::byte> aBytes, std::uint64_t aSum)
{
  std::size_t offset = 0;
  for (; offset + 1 < aBytes.size(); offset += 2) {
    aSum += read16(aBytes, offset);
  }
  if (offset < aBytes.size()) {
    aSum += std::uint64_t{ read8(aBytes, offset) } << 8U;
  }
  return aSum;
}

/// Folds a sum of addWords() to 16 bits and complements the result.
std::uint16_t foldSum(std::uint64_t aSum)
{
  while ((aSum >> 16U) != 0) {
    aSum = (aSum & 0xFFFFU) + (aSum >> 16U);
  }
  return static_cast<std::uint16_t>(~aSum & 0xFFFFU);
}

} // namespace

void updateChecksums(std::span<std::byte> aBytes, std::size_t aIpHeaderLength)
{
  write16(aBytes, 10, 0);
  write16(aBytes, 10, foldSum(addWords(aBytes.first(aIpHeaderLength), 0)));
  const auto segment = aBytes.subspan(aIpHeaderLength);
  write16(segment, 16, 0);
  // The pseudo header has addresses, protocol and segment length (RFC 9293, section 3.1).
  const std::uint64_t pseudoHeaderSum =
    addWords(aBytes.subspan(12, 8), kProtocolTcp + segment.size());
  write16(segment, 16, foldSum(addWords(segment, pseudoHeaderSum)));
}

Bytes makeEmptySegment(Endpoint aFrom,
                       Endpoint aTo,
                       std::uint8_t aFlags,
                       std::uint32_t aSequence,
                       std::uint32_t aAcknowledgement)
{
  constexpr std::uint16_t kWindowBytes = 65535; // without window scaling
  Bytes bytes(kIpHeaderBytes + kTcpHeaderBytes);
  const std::span<std::byte> out(bytes);
  out[0] = std::byte{ 0x45 };
  write16(out, 2, static_cast<std::uint16_t>(out.size()));
  out[8] = std::byte{ kDefaultTtl };
  out[9] = std::byte{ kProtocolTcp };
  write32(out, 12, aFrom.mAddress.mValue);
  write32(out, 16, aTo.mAddress.mValue);
  const auto tcp = out.subspan(kIpHeaderBytes);
  write16(tcp, 0, aFrom.mPort);
  write16(tcp, 2, aTo.mPort);
  write32(tcp, 4, aSequence);
  write32(tcp, 8, aAcknowledgement);
  tcp[12] = std::byte{ (kTcpHeaderBytes / 4) << 4U };
  tcp[13] = std::byte{ aFlags };
  write16(tcp, 14, (aFlags & kRst) != 0 ? 0 : kWindowBytes);
  updateChecksums(out, kIpHeaderBytes);
  return bytes;
}

Bytes makeReset(const TcpPacket& aPacket)
{
  return aPacket.has(kAck)
           ? makeEmptySegment(
               aPacket.mDestination, aPacket.mSource, kRst, aPacket.mAcknowledgement, 0)
           : makeEmptySegment(
               aPacket.mDestination, aPacket.mSource, kRst | kAck, 0, aPacket.nextSequence());
}

void stripSynPayload(Bytes& aBytes, const TcpPacket& aPacket)
{
  if (aPacket.mPayloadLength == 0 || !base::safetyMechanisms().mStripSynData) {
    return;
  }
  aBytes.resize(aPacket.mIpHeaderLength + aPacket.mTcpHeaderLength);
  write16(aBytes, 2, static_cast<std::uint16_t>(aBytes.size()));
  updateChecksums(aBytes, aPacket.mIpHeaderLength);
}

void setSequence(Bytes& aBytes, const TcpPacket& aPacket, std::uint32_t aSequence)
{
  const std::span<std::byte> bytes(aBytes);
  write32(bytes, aPacket.mIpHeaderLength + 4U, aSequence);
  updateChecksums(bytes, aPacket.mIpHeaderLength);
}

void clampMss(Bytes& aBytes, const TcpPacket& aPacket, std::uint16_t aMaxSegmentBytes)
{
  const std::span<std::byte> bytes(aBytes);
  const auto options = bytes.subspan(aPacket.mIpHeaderLength + kTcpHeaderBytes,
                                     aPacket.mTcpHeaderLength - kTcpHeaderBytes);
  std::size_t offset = 0;
  while (offset < options.size() && read8(options, offset) != kOptionEnd) {
    if (read8(options, offset) == kOptionNop) {
      ++offset;
      continue;
    }
    const std::size_t length = offset + 1 < options.size() ? read8(options, offset + 1) : 0;
    if (length < 2 || offset + length > options.size()) {
      return;
    }
    const bool isMss = read8(options, offset) == kOptionMss && length == 4;
    if (isMss && read16(options, offset + 2) > aMaxSegmentBytes) {
      write16(options, offset + 2, aMaxSegmentBytes);
      updateChecksums(bytes, aPacket.mIpHeaderLength);
      return;
    }
    offset += length;
  }
}

} // namespace cornelcross::flow
