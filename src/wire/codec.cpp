#include "wire/codec.hpp"

#include "flow/byte_order.hpp"
#include "wire/archive.hpp"

#include <algorithm>

namespace cornelcross::wire {

namespace {

constexpr std::uint16_t kMagic = 0xC05C;
constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kFrameHeaderBytes = 12; // magic, version, kind, revision
constexpr std::size_t kTypicalHeaderBytes = 128;

template<class T>
Message decodeBody(InputArchive& aArchive)
{
  T message;
  aArchive(message);
  if constexpr (std::is_same_v<T, Forward>) {
    message.mPacket.assign(aArchive.remaining().begin(), aArchive.remaining().end());
  }
  return message;
}

template<std::size_t... kIndexes>
Message decodeKind(std::size_t aKind, InputArchive& aArchive, std::index_sequence<kIndexes...>)
{
  using Decoder = Message (*)(InputArchive&);
  static constexpr Decoder kDecoders[] = {
    &decodeBody<std::variant_alternative_t<kIndexes, Message>>...
  };
  return kDecoders[aKind](aArchive);
}

void writeHeader(OutputArchive& aArchive, std::size_t aKind, std::uint64_t aRevision)
{
  aArchive(kMagic, kVersion, static_cast<std::uint8_t>(aKind), aRevision);
}

bool hasValidFields(const Forward& aForward)
{
  return aForward.mOwnershipQuery <= OwnershipQuery::kDecisive &&
         aForward.mPossibleOwners.size() <= kMaxCandidates &&
         aForward.mCandidates.size() <= kMaxCandidates &&
         aForward.mCandidateIndex < aForward.mCandidates.size();
}

bool hasValidFields(const OwnerLookup& aLookup)
{
  return !aLookup.mFlows.empty() && aLookup.mFlows.size() <= kMaxLookupFlows;
}

bool hasValidFields(const OwnerLookupReply& aReply)
{
  return !aReply.mOwnerships.empty() && aReply.mOwnerships.size() <= kMaxLookupFlows &&
         std::all_of(
           aReply.mOwnerships.begin(), aReply.mOwnerships.end(), [](FlowOwnership aOwnership) {
             return aOwnership <= FlowOwnership::kUndeliverable;
           });
}

/// Messages whose fields may have any value.
template<class T>
bool hasValidFields(const T&)
{
  return true;
}

} // namespace

std::string_view toString(DecodeError aError)
{
  switch (aError) {
    case DecodeError::kTruncated:
      return "truncated";
    case DecodeError::kNotAFrame:
      return "not_a_frame";
    case DecodeError::kUnknownVersion:
      return "unknown_version";
    case DecodeError::kUnknownKind:
      return "unknown_kind";
    case DecodeError::kInvalid:
      return "invalid";
    case DecodeError::kTrailingBytes:
      return "trailing_bytes";
  }
  return "unknown";
}

bool isFrame(std::span<const std::byte> aDatagram)
{
  return aDatagram.size() >= 2 && flow::read16(aDatagram, 0) == kMagic;
}

flow::Bytes encode(const Frame& aFrame)
{
  if (const auto* forward = std::get_if<Forward>(&aFrame.mMessage)) {
    return encodeForward(aFrame.mRevision, *forward, forward->mPacket);
  }
  flow::Bytes bytes;
  bytes.reserve(kTypicalHeaderBytes);
  OutputArchive archive(bytes);
  writeHeader(archive, aFrame.mMessage.index(), aFrame.mRevision);
  std::visit([&](const auto& aMessage) { archive(aMessage); }, aFrame.mMessage);
  return bytes;
}

flow::Bytes encodeForward(std::uint64_t aRevision,
                          const Forward& aForward,
                          std::span<const std::byte> aPacket)
{
  constexpr std::size_t kForwardKind = 0;
  static_assert(std::is_same_v<std::variant_alternative_t<kForwardKind, Message>, Forward>);
  flow::Bytes bytes;
  bytes.reserve(kTypicalHeaderBytes + aPacket.size());
  OutputArchive archive(bytes);
  writeHeader(archive, kForwardKind, aRevision);
  archive(aForward);
  archive.writeBytes(aPacket.data(), aPacket.size());
  return bytes;
}

std::variant<Frame, DecodeError> decode(std::span<const std::byte> aDatagram)
{
  if (!isFrame(aDatagram)) {
    return DecodeError::kNotAFrame;
  }
  if (aDatagram.size() < kFrameHeaderBytes) {
    return DecodeError::kTruncated;
  }
  if (flow::read8(aDatagram, 2) != kVersion) {
    return DecodeError::kUnknownVersion;
  }
  const std::size_t kind = flow::read8(aDatagram, 3);
  if (kind >= std::variant_size_v<Message>) {
    return DecodeError::kUnknownKind;
  }
  Frame frame;
  InputArchive archive(aDatagram.subspan(4));
  try {
    archive(frame.mRevision);
    frame.mMessage =
      decodeKind(kind, archive, std::make_index_sequence<std::variant_size_v<Message>>{});
  } catch (const std::exception&) {
    return DecodeError::kTruncated;
  }
  const bool isValid =
    std::visit([](const auto& aMessage) { return hasValidFields(aMessage); }, frame.mMessage);
  if (!isValid) {
    return DecodeError::kInvalid;
  }
  if (!std::holds_alternative<Forward>(frame.mMessage) && !archive.remaining().empty()) {
    return DecodeError::kTrailingBytes;
  }
  return frame;
}

} // namespace cornelcross::wire
