#include "wire/codec.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace cornelcross;

namespace {

constexpr std::size_t kHeaderBytes = 12;

flow::Bytes arbitraryBytes()
{
  const auto values =
    *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>());
  flow::Bytes bytes(values.size());
  std::transform(values.begin(), values.end(), bytes.begin(), [](std::uint8_t aValue) {
    return std::byte{ aValue };
  });
  return bytes;
}

flow::Endpoint arbitraryEndpoint()
{
  return { { *rc::gen::arbitrary<std::uint32_t>() }, *rc::gen::arbitrary<std::uint16_t>() };
}

wire::Forward arbitraryForward()
{
  wire::Forward forward;
  forward.mIngress = arbitraryEndpoint();
  forward.mService = *rc::gen::arbitrary<std::uint64_t>();
  const auto count = *rc::gen::inRange<std::size_t>(1, wire::kMaxCandidates + 1);
  for (std::size_t i = 0; i < count; ++i) {
    forward.mCandidates.push_back(arbitraryEndpoint());
  }
  forward.mCandidateIndex = static_cast<std::uint8_t>(*rc::gen::inRange<std::size_t>(0, count));
  forward.mIsLastPage = *rc::gen::arbitrary<bool>();
  forward.mIsDeniedByAll = *rc::gen::arbitrary<bool>();
  forward.mPacket = arbitraryBytes();
  return forward;
}

} // namespace

BOOST_AUTO_TEST_SUITE(wire_properties)

BOOST_AUTO_TEST_CASE(every_encoded_forward_decodes_to_the_same_frame)
{
  BOOST_TEST(rc::check([] {
    const wire::Frame frame{ *rc::gen::arbitrary<std::uint64_t>(), arbitraryForward() };
    const auto decoded = wire::decode(wire::encode(frame));
    RC_ASSERT(std::holds_alternative<wire::Frame>(decoded));
    RC_ASSERT((std::get<wire::Frame>(decoded) == frame));
  }));
}

BOOST_AUTO_TEST_CASE(arbitrary_bytes_after_a_valid_header_decode_to_a_frame_or_an_error)
{
  BOOST_TEST(rc::check([] {
    const auto tail = arbitraryBytes();
    const auto kind = *rc::gen::arbitrary<std::uint8_t>();
    flow::Bytes bytes = wire::encode({ 1, wire::LoadReport{} });
    bytes.resize(kHeaderBytes);
    bytes[3] = std::byte{ kind };
    bytes.insert(bytes.end(), tail.begin(), tail.end());
    const auto decoded = wire::decode(bytes);
    if (kind >= std::variant_size_v<wire::Message>) {
      RC_ASSERT(std::holds_alternative<wire::DecodeError>(decoded));
    }
  }));
}

BOOST_AUTO_TEST_CASE(a_frame_with_one_changed_byte_decodes_to_a_valid_frame_or_an_error)
{
  BOOST_TEST(rc::check([] {
    flow::Bytes bytes = wire::encode({ 7, arbitraryForward() });
    const auto index = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[index] = std::byte{ *rc::gen::arbitrary<std::uint8_t>() };
    const auto decoded = wire::decode(bytes);
    const auto* frame = std::get_if<wire::Frame>(&decoded);
    if (frame != nullptr) {
      const auto* forward = std::get_if<wire::Forward>(&frame->mMessage);
      RC_ASSERT(forward == nullptr || forward->mCandidateIndex < forward->mCandidates.size());
    }
  }));
}

BOOST_AUTO_TEST_CASE(arbitrary_bytes_parse_to_a_consistent_packet_or_none)
{
  BOOST_TEST(rc::check([] {
    flow::Bytes bytes = arbitraryBytes();
    if (!bytes.empty()) {
      bytes[0] = std::byte{ 0x45 };
    }
    const auto packet = flow::TcpPacket::parse(bytes);
    if (packet) {
      RC_ASSERT(packet->mIpHeaderLength + packet->mTcpHeaderLength + packet->mPayloadLength ==
                bytes.size());
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
