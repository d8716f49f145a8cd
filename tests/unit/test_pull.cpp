#include "net/compression.hpp"
#include "wire/pull.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;

namespace {

config::RemovedUpstream removedUpstream()
{
  config::Upstream upstream;
  upstream.mName = "x-1";
  upstream.mAgent = *flow::Endpoint::parse("192.0.2.1:7000");
  upstream.mZone = "a";
  return { "x", upstream, 1500 };
}

const wire::PullReply kReply{
  false,
  { 7, { { "zones", 7, "{}" }, { "service/x", 5, std::nullopt } } },
  { true, { removedUpstream() }, { { *flow::Endpoint::parse("198.51.100.1:80"), "y", 20 } } }
};

} // namespace

BOOST_AUTO_TEST_SUITE(pull)

BOOST_AUTO_TEST_CASE(an_encoded_message_decodes_to_the_same_message)
{
  const wire::PullRequest request{ 5, { "service/x" } };
  BOOST_TEST((wire::decodePullRequest(wire::encode(request)) == request));
  BOOST_TEST((wire::decodePullReply(wire::encode(kReply)) == kReply));
}

BOOST_AUTO_TEST_CASE(a_message_that_ends_early_is_not_decoded)
{
  const flow::Bytes bytes = wire::encode(kReply);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    BOOST_TEST(!wire::decodePullReply(std::span(bytes).first(size)).has_value());
  }
}

BOOST_AUTO_TEST_CASE(damaged_or_oversized_compressed_bytes_are_refused)
{
  const flow::Bytes bytes(100000);
  flow::Bytes compressed = net::compress(bytes);
  BOOST_TEST((net::decompress(compressed, bytes.size()) == bytes));
  BOOST_TEST(!net::decompress(compressed, bytes.size() - 1).has_value());
  compressed.resize(compressed.size() / 2);
  BOOST_TEST(!net::decompress(compressed, bytes.size()).has_value());
  BOOST_TEST(!net::decompress({}, bytes.size()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
