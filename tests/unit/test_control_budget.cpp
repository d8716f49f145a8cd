#include "membership/control_queue.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;
using membership::ControlKind;

namespace {

const base::Time kStart{ 1h };

membership::ControlDatagram datagram(ControlKind aKind)
{
  return { aKind, {}, flow::Bytes(72) }; // 100 bytes on the network with IP and UDP headers
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_budget)

BOOST_AUTO_TEST_CASE(over_the_budget_the_lowest_priority_kind_is_queued_first)
{
  membership::ControlBudget budget(10000, 1s);
  membership::ControlQueue queue(budget);
  std::map<ControlKind, std::size_t> sent;
  for (int i = 0; i < 100; ++i) {
    for (const auto kind :
         { ControlKind::kOwnerUpdate, ControlKind::kLoadReport, ControlKind::kHeartbeat }) {
      for (const auto& ready : queue.enqueue(kStart, datagram(kind))) {
        ++sent[ready.mKind];
      }
    }
  }
  BOOST_TEST(sent[ControlKind::kOwnerUpdate] < sent[ControlKind::kLoadReport]);
  BOOST_TEST(sent[ControlKind::kLoadReport] < sent[ControlKind::kHeartbeat]);
  BOOST_TEST(queue.queuedCount(ControlKind::kOwnerUpdate) > 0U);
  BOOST_TEST(queue.enqueue(kStart, datagram(ControlKind::kConfirmation)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_queued_datagram_becomes_ready_once_the_budget_allows)
{
  membership::ControlBudget budget(1000, 1s);
  membership::ControlQueue queue(budget);
  budget.charge(kStart, 1000);
  BOOST_TEST(queue.enqueue(kStart, datagram(ControlKind::kLoadReport)).empty());
  BOOST_TEST(queue.dequeueReady(kStart + 400ms).empty());
  BOOST_TEST(queue.dequeueReady(kStart + 500ms).size() == 1U);
}

BOOST_AUTO_TEST_CASE(after_a_large_charge_confirmations_pass_at_once_and_other_kinds_within_seconds)
{
  membership::ControlBudget budget(20000, 5s);
  budget.charge(kStart, 4000000);
  BOOST_TEST(budget.tryConsume(kStart, ControlKind::kConfirmation, 100));
  BOOST_TEST(!budget.tryConsume(kStart, ControlKind::kPull, 100));
  BOOST_TEST(budget.tryConsume(kStart + 3s, ControlKind::kPull, 100));
  BOOST_TEST(budget.tryConsume(kStart + 4s, ControlKind::kHeartbeat, 100));
}

BOOST_AUTO_TEST_CASE(the_long_run_rate_matches_the_budget_under_overload)
{
  membership::ControlBudget budget(20000, 5s);
  membership::ControlQueue queue(budget);
  std::size_t bytes = 0;
  for (int tick = 0; tick < 600; ++tick) {
    for (int i = 0; i < 100; ++i) {
      const auto kind = static_cast<ControlKind>(i % membership::kControlKinds);
      for (const auto& ready : queue.enqueue(kStart + tick * 100ms, datagram(kind))) {
        bytes += networkBytes(ready);
      }
    }
  }
  BOOST_TEST(bytes <= 20000U * 65 + 100);
  BOOST_TEST(bytes >= 20000U * 55);
}

BOOST_AUTO_TEST_SUITE_END()
