#include "wire/codec.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;

namespace {

wire::Frame makeFrame()
{
  wire::Forward forward;
  forward.mIngress = *flow::Endpoint::parse("127.0.1.1:7000");
  forward.mService = 42;
  forward.mCandidateIndex = 1;
  forward.mIsLastPage = true;
  forward.mCandidates = { *flow::Endpoint::parse("127.0.10.1:7000"),
                          *flow::Endpoint::parse("127.0.10.2:7000") };
  forward.mPacket = flow::Bytes(40, std::byte{ 7 });
  return { 9, forward };
}

} // namespace

BOOST_AUTO_TEST_SUITE(wire_codec)

BOOST_AUTO_TEST_CASE(decodes_an_encoded_frame_to_the_same_frame)
{
  const wire::Frame frame = makeFrame();
  const auto decoded = wire::decode(wire::encode(frame));
  BOOST_REQUIRE(std::holds_alternative<wire::Frame>(decoded));
  BOOST_TEST((std::get<wire::Frame>(decoded) == frame));
}

BOOST_AUTO_TEST_CASE(rejects_every_truncation_of_a_header)
{
  const auto bytes = wire::encode(makeFrame());
  for (std::size_t size = 0; size < bytes.size() - 40; ++size) {
    const auto decoded = wire::decode(std::span(bytes).first(size));
    BOOST_TEST(std::holds_alternative<wire::DecodeError>(decoded));
  }
}

BOOST_AUTO_TEST_CASE(rejects_an_unknown_version)
{
  auto bytes = wire::encode(makeFrame());
  bytes[2] = std::byte{ 99 };
  const auto decoded = wire::decode(bytes);
  BOOST_REQUIRE(std::holds_alternative<wire::DecodeError>(decoded));
  BOOST_TEST((std::get<wire::DecodeError>(decoded) == wire::DecodeError::kUnknownVersion));
}

BOOST_AUTO_TEST_CASE(rejects_bytes_after_a_message_that_carries_no_packet)
{
  auto bytes = wire::encode({ 1, wire::LoadReport{ 1, 2, 3, 4 } });
  bytes.push_back(std::byte{ 0 });
  const auto decoded = wire::decode(bytes);
  BOOST_REQUIRE(std::holds_alternative<wire::DecodeError>(decoded));
  BOOST_TEST((std::get<wire::DecodeError>(decoded) == wire::DecodeError::kTrailingBytes));
}

BOOST_AUTO_TEST_SUITE_END()
