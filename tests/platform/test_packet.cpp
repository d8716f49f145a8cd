#include "unit/support/sealed_packets.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace cornelcross;
using namespace cornelcross::test;

namespace {

const flow::Endpoint kCaller = *flow::Endpoint::parse("100.64.0.7:40001");
const flow::Endpoint kRoute = *flow::Endpoint::parse("198.18.0.1:443");

} // namespace

BOOST_AUTO_TEST_SUITE(platform_packet)

BOOST_AUTO_TEST_CASE(reads_the_fields_of_a_syn)
{
  const auto packet =
    platform::parsePacket(makeSealed({ kCaller, kRoute, kSealedSyn, 0x11223344U, 2 }));
  BOOST_REQUIRE(packet.has_value());
  BOOST_TEST((packet->mSource == kCaller));
  BOOST_TEST((packet->mDestination == kRoute));
  BOOST_TEST(packet->isInitialSyn());
  BOOST_TEST(packet->mSequence == 0x11223344U);
  BOOST_TEST(!packet->mIsReturned);
}

BOOST_AUTO_TEST_CASE(rejects_datagrams_that_are_truncated_oversized_or_of_a_wrong_length)
{
  const flow::Bytes valid = makeSealed({ kCaller, kRoute, kSealedAck, 1, 1, 5 });
  for (std::size_t size = 0; size < valid.size(); ++size) {
    BOOST_TEST(!platform::parsePacket(std::span(valid).first(size)).has_value());
  }
  flow::Bytes longer = valid;
  longer.push_back(std::byte{ 0 });
  BOOST_TEST(!platform::parsePacket(longer).has_value());
  BOOST_TEST(!platform::parsePacket(
                makeSealed({ kCaller, kRoute, kSealedAck, 1, 1, platform::kMaxPayloadBytes + 1 }))
                .has_value());
}

BOOST_AUTO_TEST_CASE(
  a_reset_has_the_flows_destination_as_source_and_the_acknowledged_sequence_number)
{
  const auto packet =
    *platform::parsePacket(makeSealed({ kCaller, kRoute, kSealedAck, 7, 0xFFFF0000U, 3 }));
  const flow::Bytes bytes = platform::makeReset(packet);
  const auto reset = platform::parsePacket(bytes);
  BOOST_REQUIRE(reset.has_value());
  BOOST_TEST(reset->has(flow::kRst));
  BOOST_TEST((reset->mSource == kRoute));
  BOOST_TEST((reset->mDestination == kCaller));
  BOOST_TEST(reset->mSequence == 0xFFFF0000U);
  BOOST_TEST(flow::read32(bytes, 30) == 0U); // the checksum
}

BOOST_AUTO_TEST_CASE(a_returned_packet_keeps_its_tag_and_is_restored_for_the_next_upstream)
{
  const flow::PacketFormat format = platform::packetFormat();
  const flow::Bytes sent = makeSealed({ kCaller, kRoute, kSealedSyn, 9, 0 });
  flow::Bytes tagged = sent;
  format.mSetTag(tagged, 0xCAFE0001U);
  flow::Bytes back = returned(tagged);
  const auto view = platform::parsePacket(back);
  BOOST_REQUIRE(view.has_value());
  BOOST_TEST(view->mIsReturned);
  BOOST_TEST(view->mTag == 0xCAFE0001U);
  format.mClearReturnedMark(back);
  BOOST_TEST((back == sent));
}

BOOST_AUTO_TEST_CASE(arbitrary_datagrams_parse_or_are_rejected_and_never_read_out_of_bounds)
{
  const bool holds = rc::check("arbitrary datagrams", [] {
    const auto values = *rc::gen::container<std::vector<std::uint8_t>>(
      *rc::gen::inRange<std::size_t>(0, 80), rc::gen::arbitrary<std::uint8_t>());
    flow::Bytes bytes(values.size());
    std::transform(values.begin(), values.end(), bytes.begin(), [](std::uint8_t aValue) {
      return std::byte{ aValue };
    });
    const auto packet = platform::parsePacket(bytes);
    RC_ASSERT(!packet || packet->mPayloadLength + platform::kHeaderBytes == bytes.size());
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
