#include "unit/support/fingerprint.hpp"
#include "unit/support/network.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace cornelcross;
using namespace cornelcross::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kFaultyMs = 20000;

std::vector<Fault> randomFaults()
{
  std::vector<Fault> faults(*rc::gen::inRange<std::size_t>(0, 12));
  for (Fault& fault : faults) {
    fault = { *rc::gen::inRange<std::uint32_t>(0, kFaultyMs),
              *rc::gen::inRange<int>(0, Fault::kKindCount),
              *rc::gen::inRange<std::uint32_t>(0, 12) };
  }
  return faults;
}

/// Runs a random network. Faults start and packets are lost only within the first kFaultyMs; the
/// rest of the run is long enough for every flow to recover.
Network runRandomNetwork(std::uint32_t aCallers)
{
  const double loss = *rc::gen::element(0.0, 0.02, 0.1, 0.2);
  Network network(*rc::gen::arbitrary<std::uint32_t>(), loss);
  for (std::uint32_t i = 0; i < aCallers; ++i) {
    // The compiler chooses the order in which the arguments of a call are evaluated.
    const auto atMs = *rc::gen::inRange<std::uint32_t>(0, kFaultyMs);
    const auto thinkMs = *rc::gen::element<std::uint32_t>(200, 2000, 15000);
    network.addCaller(atMs, thinkMs);
  }
  for (const Fault& fault : randomFaults()) {
    network.addFault(fault);
  }
  network.run(60s, std::chrono::milliseconds(kFaultyMs));
  return network;
}

std::string summarize(const Network& aNetwork)
{
  std::size_t responses = 0;
  std::size_t resets = 0;
  for (const ModelCaller& caller : aNetwork.callers()) {
    responses += caller.responses();
    resets += caller.isReset() ? 1 : 0;
  }
  std::size_t bytes = 0;
  Fingerprint fingerprint;
  for (const ModelUpstream& upstream : aNetwork.upstreams()) {
    bytes += upstream.bytes().size();
    for (const auto& [caller, initial, offset] : upstream.bytes()) {
      fingerprint.add(caller.toString());
      fingerprint.add(initial);
      fingerprint.add(offset);
    }
  }
  return std::to_string(responses) + " responses, " + std::to_string(resets) + " resets, " +
         std::to_string(bytes) + " bytes, " + fingerprint.toString();
}

/// Summary of the random network that a generator of this seed draws.
std::string summaryOfNetwork(std::uint64_t aSeed)
{
  const auto generator = rc::gen::exec([] { return summarize(runRandomNetwork(12)); });
  return generator(rc::Random(aSeed), rc::kNominalSize).value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(network_properties)

RC_BOOST_PROP(no_established_flow_is_reset_while_its_upstream_keeps_it, ())
{
  const Network network = runRandomNetwork(12);
  for (const ModelCaller& caller : network.callers()) {
    RC_ASSERT(!caller.isReset() || network.hasRestarted(*caller.owner()));
  }
}

RC_BOOST_PROP(every_established_flow_is_answered_or_reset_once_the_network_is_whole, ())
{
  const Network network = runRandomNetwork(12);
  for (const ModelCaller& caller : network.callers()) {
    RC_ASSERT(!caller.owner() || caller.responses() > 0 || caller.isReset());
  }
}

RC_BOOST_PROP(each_payload_byte_reaches_one_upstream_only, ())
{
  const Network network = runRandomNetwork(12);
  std::set<ModelUpstream::ByteId> seen;
  for (const ModelUpstream& upstream : network.upstreams()) {
    for (const auto& byte : upstream.bytes()) {
      RC_ASSERT(seen.insert(byte).second);
    }
  }
}

// Guards against a seed that plays different networks with different compilers, options or
// machines. A change of what agents or balancers decide changes these values too.
BOOST_AUTO_TEST_CASE(a_seed_plays_the_same_network_on_every_machine)
{
  BOOST_TEST(summaryOfNetwork(1) == "235 responses, 0 resets, 4700 bytes, eeab15299926642c");
  BOOST_TEST(summaryOfNetwork(2) == "556 responses, 0 resets, 11140 bytes, 529d9b66a8b9b74e");
  BOOST_TEST(summaryOfNetwork(3) == "241 responses, 4 resets, 4820 bytes, 45b7b7ebb1da1a1e");
}

BOOST_AUTO_TEST_SUITE_END()
