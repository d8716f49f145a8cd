#include "admission/placement.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using admission::CandidateState;

namespace {

const CandidateState kFree{ true, true, 4 };
const CandidateState kAboveLoadBound{ true, false, 4 };
const CandidateState kFull{ true, false, 0 };
const CandidateState kIneligible{ false, true, 4 };

/// Places a new flow on candidates with the given states.
/// @return the final decision and the index of the candidate that decided
std::pair<admission::PlacementDecision, std::uint8_t> place(
  const std::vector<CandidateState>& aCandidates)
{
  std::uint8_t candidateIndex = 0;
  wire::PlacementState placementState;
  for (;;) {
    const auto decision = admission::decidePlacement(placementState,
                                                     candidateIndex,
                                                     static_cast<std::uint8_t>(aCandidates.size()),
                                                     aCandidates[candidateIndex]);
    const auto* forwardTo = std::get_if<admission::ForwardTo>(&decision);
    if (forwardTo == nullptr) {
      return { decision, candidateIndex };
    }
    candidateIndex = forwardTo->mCandidateIndex;
    placementState = forwardTo->mPlacement;
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement)

BOOST_AUTO_TEST_CASE(admits_at_the_first_candidate_within_its_load_bound)
{
  const auto [decision, candidateIndex] = place({ kAboveLoadBound, kFree, kFree });
  BOOST_TEST(std::holds_alternative<admission::Admit>(decision));
  BOOST_TEST(candidateIndex == 1);
}

BOOST_AUTO_TEST_CASE(
  admits_at_the_candidate_with_most_free_capacity_when_all_exceed_their_load_bound)
{
  const auto [decision, candidateIndex] = place({ kAboveLoadBound, { true, false, 5 }, kFull });
  BOOST_TEST(std::holds_alternative<admission::Admit>(decision));
  BOOST_TEST(candidateIndex == 1);
}

BOOST_AUTO_TEST_CASE(enqueues_at_the_first_eligible_candidate_when_all_are_full)
{
  const auto [decision, candidateIndex] = place({ kIneligible, kFull, kFull });
  BOOST_TEST(std::holds_alternative<admission::Enqueue>(decision));
  BOOST_TEST(candidateIndex == 1);
}

BOOST_AUTO_TEST_CASE(refuses_when_no_candidate_is_eligible)
{
  const auto [decision, candidateIndex] = place({ kIneligible, kIneligible, kIneligible });
  BOOST_TEST(std::holds_alternative<admission::Refuse>(decision));
}

BOOST_AUTO_TEST_SUITE_END()
