#include "unit/support/network.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace cornelcross;
using namespace cornelcross::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kFaultyMs = 20000;

std::vector<Fault> anyFaults()
{
  std::vector<Fault> faults(*rc::gen::inRange<std::size_t>(0, 12));
  for (Fault& fault : faults) {
    fault = { *rc::gen::inRange<std::uint32_t>(0, kFaultyMs),
              *rc::gen::inRange<int>(0, Fault::kKinds),
              *rc::gen::inRange<std::uint32_t>(0, 12) };
  }
  return faults;
}

/// A run with faults in its first half, which ends long after the last of them.
Network anyRun(std::uint32_t aCallers)
{
  const double loss = *rc::gen::element(0.0, 0.02, 0.1, 0.2);
  Network network(*rc::gen::arbitrary<std::uint32_t>(), loss);
  for (std::uint32_t i = 0; i < aCallers; ++i) {
    network.addCaller(*rc::gen::inRange<std::uint32_t>(0, kFaultyMs),
                      *rc::gen::element<std::uint32_t>(200, 2000, 15000));
  }
  for (const Fault& fault : anyFaults()) {
    network.addFault(fault);
  }
  network.run(60s, std::chrono::milliseconds(kFaultyMs));
  return network;
}

} // namespace

BOOST_AUTO_TEST_SUITE(network_properties)

RC_BOOST_PROP(no_established_flow_is_reset_while_its_upstream_keeps_it, ())
{
  const Network network = anyRun(12);
  for (const ModelCaller& caller : network.callers()) {
    RC_ASSERT(!caller.isReset() || network.lostItsConnections(*caller.owner()));
  }
}

RC_BOOST_PROP(every_established_flow_is_answered_or_reset_once_the_network_is_whole, ())
{
  const Network network = anyRun(12);
  for (const ModelCaller& caller : network.callers()) {
    RC_ASSERT(!caller.owner() || caller.answers() > 0 || caller.isReset());
  }
}

RC_BOOST_PROP(each_payload_byte_reaches_one_upstream_only, ())
{
  const Network network = anyRun(12);
  std::set<ModelUpstream::ByteId> seen;
  for (const ModelUpstream& upstream : network.upstreams()) {
    for (const auto& byte : upstream.bytes()) {
      RC_ASSERT(seen.insert(byte).second);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
