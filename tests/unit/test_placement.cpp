#include "admission/placement.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using admission::CandidateState;

namespace {

const CandidateState kFree{ true, true, 4 };
const CandidateState kAboveShare{ true, false, 4 };
const CandidateState kFull{ true, false, 0 };
const CandidateState kIneligible{ false, true, 4 };

/// Walks a new flow along candidates with these offers to its last step.
std::pair<admission::PlacementDecision, std::uint8_t> walk(
  const std::vector<CandidateState>& aOffers)
{
  std::uint8_t position = 0;
  wire::PlacementState progress;
  for (;;) {
    const auto step = admission::decidePlacement(
      progress, position, static_cast<std::uint8_t>(aOffers.size()), aOffers[position]);
    const auto* pass = std::get_if<admission::ForwardTo>(&step);
    if (pass == nullptr) {
      return { step, position };
    }
    position = pass->mCandidateIndex;
    progress = pass->mPlacement;
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(new_flow_walk)

BOOST_AUTO_TEST_CASE(ends_at_the_first_candidate_below_its_share)
{
  const auto [step, position] = walk({ kAboveShare, kFree, kFree });
  BOOST_TEST(std::holds_alternative<admission::Admit>(step));
  BOOST_TEST(position == 1);
}

BOOST_AUTO_TEST_CASE(settles_where_most_room_is_when_all_are_above_their_share)
{
  const auto [step, position] = walk({ kAboveShare, { true, false, 5 }, kFull });
  BOOST_TEST(std::holds_alternative<admission::Admit>(step));
  BOOST_TEST(position == 1);
}

BOOST_AUTO_TEST_CASE(waits_at_the_first_eligible_candidate_when_all_are_full)
{
  const auto [step, position] = walk({ kIneligible, kFull, kFull });
  BOOST_TEST(std::holds_alternative<admission::Enqueue>(step));
  BOOST_TEST(position == 1);
}

BOOST_AUTO_TEST_CASE(is_refused_when_no_candidate_is_eligible)
{
  const auto [step, position] = walk({ kIneligible, kIneligible, kIneligible });
  BOOST_TEST(std::holds_alternative<admission::Refuse>(step));
}

BOOST_AUTO_TEST_SUITE_END()
