#include "agent/flow_manager.hpp"
#include "config/retained_routes.hpp"
#include "unit/support/actions.hpp"
#include "unit/support/candidate_digest.hpp"
#include "unit/support/configuration.hpp"
#include "unit/support/sealed_packets.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace cornelcross;
using namespace cornelcross::test;
using namespace std::chrono_literals;

namespace {

const flow::Endpoint kClient = *flow::Endpoint::parse("100.64.0.7:40001");
constexpr std::uint32_t kInitial = 1000;
constexpr std::uint32_t kAnswer = 77000;

/// An agent whose upstream returns what it does not take, with the others still to be asked.
struct Fixture
{
  Fixture() : Fixture(0) {}

  explicit Fixture(std::uint64_t aStartedAtMs)
    : mAgent({ .mSelf = agentOf(0),
               .mAdmission = { .mMaxQueueTime = 0ms,
                               .mQueuesRequests = false,
                               .mUpstreamQueuePerSlot = 2 },
               .mRecoveryWindow = 60s,
               .mStartedAtMs = aStartedAtMs },
             platform::packetFormat())
  {
    mAgent.apply(mNow, share(makeConfiguration(3)));
  }

  agent::Actions deliver(const SealedPacket& aPacket, std::uint8_t aPosition = 0)
  {
    wire::Forward forward;
    forward.mService = config::upstreamIdentity("logbook", "");
    forward.mIsLastPage = true;
    forward.mCandidateDigest = mCandidateDigest;
    forward.mCandidates = { agentOf(0), agentOf(1), agentOf(2) };
    forward.mCandidateIndex = aPosition;
    std::swap(forward.mCandidates[0], forward.mCandidates[aPosition]);
    forward.mPacket = makeSealed(aPacket);
    return mAgent.onForward(mNow, mAgent.revision(), forward);
  }

  agent::Actions syn(std::uint8_t aPosition = 0)
  {
    return deliver({ kClient, kServiceAddress, kSealedSyn, kInitial, 0 }, aPosition);
  }

  agent::Actions data(std::uint8_t aPosition = 0)
  {
    return deliver({ kClient, kServiceAddress, kSealedAck, kInitial + 1, kAnswer + 1, 10 },
                   aPosition);
  }

  agent::Actions giveBack(const agent::Actions& aDelivered)
  {
    const auto* delivered = findAction<agent::DeliverToUpstream>(aDelivered);
    BOOST_REQUIRE(delivered != nullptr);
    return mAgent.onUpstreamPacket(mNow, returned(delivered->mPacket));
  }

  void establish()
  {
    syn();
    mAgent.onUpstreamPacket(
      mNow,
      makeSealed({ kServiceAddress, kClient, kSealedSyn | kSealedAck, kAnswer, kInitial + 1 }));
    data();
  }

  void completeHistory()
  {
    auto configuration = makeConfiguration(3, 2);
    configuration.mIsRetainedStateComplete = true;
    mAgent.apply(mNow, share(configuration));
  }

  static std::optional<wire::Forward> passedOn(const agent::Actions& aActions)
  {
    const auto* message = findAction<agent::SendMessage>(aActions);
    return message == nullptr ? std::nullopt
                              : std::optional(std::get<wire::Forward>(message->mMessage));
  }

  base::Time mNow{ 100s };
  std::uint64_t mCandidateDigest = candidateDigestOf(makeConfiguration(3));
  agent::FlowManager mAgent;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(returned_packets, Fixture)

BOOST_AUTO_TEST_CASE(a_syn_that_the_upstream_returns_goes_on_as_its_sender_wrote_it)
{
  const auto forward = passedOn(giveBack(syn()));
  BOOST_REQUIRE(forward.has_value());
  BOOST_TEST((forward->mCandidates[forward->mCandidateIndex] == agentOf(1)));
  BOOST_TEST(
    (forward->mPacket == makeSealed({ kClient, kServiceAddress, kSealedSyn, kInitial, 0 })));
  BOOST_TEST(mAgent.flows().size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_syn_that_nobody_takes_is_refused_at_once)
{
  const auto actions = giveBack(syn(2));
  BOOST_TEST(findAction<agent::SendToCaller>(actions) != nullptr);
  BOOST_TEST(findAction<agent::SendMessage>(actions) == nullptr);
}

BOOST_AUTO_TEST_CASE(a_copy_of_a_syn_that_the_upstream_left_unanswered_goes_elsewhere)
{
  syn();
  mNow += 200ms;
  const auto actions = syn();
  BOOST_TEST(findAction<agent::DeliverToUpstream>(actions) == nullptr);
  BOOST_REQUIRE(passedOn(actions).has_value());
}

BOOST_AUTO_TEST_CASE(a_flow_that_the_upstream_lost_is_reset_at_once)
{
  establish();
  const auto actions = giveBack(data());
  const auto* reset = findAction<agent::SendToCaller>(actions);
  BOOST_REQUIRE(reset != nullptr);
  const auto packet = platform::parsePacket(reset->mPacket);
  BOOST_TEST(packet->has(flow::kRst));
  BOOST_TEST(packet->mSequence == kAnswer + 1);
  BOOST_TEST(mAgent.flows().size() == 0U);
}

BOOST_AUTO_TEST_CASE(an_unknown_flow_is_asked_of_the_upstream_and_passed_on_if_it_returns_it)
{
  const auto forward = passedOn(giveBack(data()));
  BOOST_REQUIRE(forward.has_value());
  BOOST_TEST(forward->mIsDeniedByAll);
  // The next packet is not asked again.
  BOOST_TEST(findAction<agent::DeliverToUpstream>(data()) == nullptr);
}

BOOST_AUTO_TEST_CASE(an_unknown_flow_that_the_upstream_answers_is_its_own)
{
  data();
  mAgent.onUpstreamPacket(
    mNow, makeSealed({ kServiceAddress, kClient, kSealedAck, kAnswer + 1, kInitial + 11, 20 }));
  BOOST_TEST(mAgent.flows().size() == 1U);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(
               deliver({ kClient, kServiceAddress, kSealedAck, kInitial + 11, kAnswer + 21, 5 })) !=
             nullptr);
}

BOOST_AUTO_TEST_CASE(a_flow_that_everybody_denies_is_reset_only_if_nothing_can_be_missing)
{
  BOOST_TEST(findAction<agent::SendToCaller>(giveBack(data(2))) == nullptr);
  completeHistory();
  BOOST_TEST(findAction<agent::SendToCaller>(data(2)) != nullptr);
}

BOOST_AUTO_TEST_CASE(a_flow_is_not_reset_while_an_upstream_that_may_hold_it_cannot_be_asked)
{
  auto configuration = makeConfiguration(3, 2);
  configuration.mIsRetainedStateComplete = true;
  configuration.mZones["b"] = { "b", false };
  mAgent.apply(mNow, share(configuration));
  BOOST_TEST(findAction<agent::SendToCaller>(giveBack(data(2))) == nullptr);
}

/// All machines lost power while the zone "b" was out; one of its upstreams started at
/// aStartedAtMs.
config::ConfigurationPtr afterPowerLoss(std::uint64_t aStartedAtMs)
{
  constexpr std::uint64_t kProcessMs = 1000000;
  config::RetainedRoutes routes(60s, 2s, kProcessMs);
  auto configuration = makeConfiguration(3, 2);
  configuration.mZones["b"] = { "b", false };
  auto& upstreams = configuration.mServices.at("logbook").mUpstreams;
  for (const std::size_t i : { 0U, 1U, 2U }) {
    upstreams[i].mStartedAtMs = i == 1 ? aStartedAtMs : kProcessMs + 300; // 1 is in "b"
  }
  return routes.apply(base::Time{ 1s }, share(configuration));
}

BOOST_AUTO_TEST_CASE(after_a_loss_of_power_an_upstream_in_a_zone_that_was_out_before_holds_nothing)
{
  const auto configuration = afterPowerLoss(1000000 + 400);
  mCandidateDigest = candidateDigestOf(*configuration);
  mAgent.apply(mNow, configuration);
  BOOST_TEST(findAction<agent::SendToCaller>(giveBack(data(2))) != nullptr);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_started_before_its_zone_was_out_may_hold_the_flow)
{
  config::RetainedRoutes routes(60s, 2s, 1000000);
  auto configuration = makeConfiguration(3, 2);
  auto& upstreams = configuration.mServices.at("logbook").mUpstreams;
  for (const std::size_t i : { 0U, 1U, 2U }) {
    upstreams[i].mStartedAtMs = 1000000 + 300;
  }
  routes.apply(base::Time{ 1s }, share(configuration));
  configuration.mZones["b"] = { "b", false };
  configuration.mRevision = 3;
  mAgent.apply(mNow, routes.apply(base::Time{ 21s }, share(configuration)));
  mAgent.apply(mNow, routes.expire(base::Time{ 24s }));
  mCandidateDigest = candidateDigestOf(configuration);
  BOOST_TEST(findAction<agent::SendToCaller>(giveBack(data(2))) == nullptr);
  // One that started well after the zone was taken out was never given a flow.
  upstreams[1].mStartedAtMs = 1000000 + 30000;
  configuration.mRevision = 4;
  mAgent.apply(mNow, routes.apply(base::Time{ 31s }, share(configuration)));
  BOOST_TEST(findAction<agent::SendToCaller>(data(2)) != nullptr);
}

BOOST_AUTO_TEST_CASE(an_agent_that_its_balancer_did_not_know_is_asked_at_the_end)
{
  auto configuration = makeConfiguration(4, 2);
  mAgent.apply(mNow, share(configuration));
  const auto forward = passedOn(giveBack(data(2)));
  BOOST_REQUIRE(forward.has_value());
  BOOST_TEST(forward->mCandidateIndex == 0U);
  const std::set<flow::Endpoint> asked(forward->mCandidates.begin(), forward->mCandidates.end());
  BOOST_TEST((asked == std::set{ agentOf(1), agentOf(2), agentOf(3) }));
}

BOOST_AUTO_TEST_CASE(the_balancer_is_told_of_an_owner_that_it_did_not_name)
{
  establish();
  wire::Forward forward;
  forward.mIngress = *flow::Endpoint::parse("127.0.1.1:7000");
  forward.mCandidates = { agentOf(0) };
  forward.mPage = wire::kNoPage;
  forward.mPacket =
    makeSealed({ kClient, kServiceAddress, kSealedAck, kInitial + 1, kAnswer + 1, 10 });
  const auto named = mAgent.onForward(mNow, mAgent.revision(), forward);
  BOOST_TEST(findAction<agent::SendMessage>(named) == nullptr);
  // The agent that was named listed the others.
  forward.mPage = 0;
  forward.mIsListFromAgent = true;
  const auto found = mAgent.onForward(mNow, mAgent.revision(), forward);
  const auto* notice = findAction<agent::SendMessage>(found);
  BOOST_REQUIRE(notice != nullptr);
  BOOST_TEST((std::get<wire::OwnerUpdate>(notice->mMessage).mOwner == agentOf(0)));
}

BOOST_AUTO_TEST_CASE(a_copy_for_a_suspect_goes_to_nobody_else)
{
  wire::Forward copy;
  copy.mService = config::upstreamIdentity("logbook", "");
  copy.mCandidates = { agentOf(0) };
  copy.mIsLastPage = true;
  copy.mIsCopy = true;
  copy.mIsDeniedByAll = false;
  copy.mPacket = makeSealed({ kClient, kServiceAddress, kSealedAck, 1, 1, 10 });
  const auto delivered = mAgent.onForward(mNow, mAgent.revision(), copy);
  BOOST_TEST(findAction<agent::SendMessage>(giveBack(delivered)) == nullptr);
  BOOST_TEST(findAction<agent::SendMessage>(mAgent.onForward(mNow, mAgent.revision(), copy)) ==
             nullptr);
}

BOOST_AUTO_TEST_CASE(a_syn_does_not_circle_among_agents_of_different_configurations)
{
  wire::Forward forward;
  forward.mService = config::upstreamIdentity("logbook", "");
  forward.mCandidates = { agentOf(0), agentOf(1) };
  forward.mHops = 128;
  forward.mPacket = makeSealed({ kClient, kServiceAddress, kSealedSyn, kInitial, 0 });
  const auto actions = mAgent.onForward(mNow, mAgent.revision(), forward);
  const auto* drop = findAction<agent::DropPacket>(actions);
  BOOST_REQUIRE(drop != nullptr);
  BOOST_TEST((drop->mReason == agent::DropReason::kTooManyHops));
}

BOOST_AUTO_TEST_CASE(an_agent_that_serves_another_service_now_passes_the_flow_on)
{
  auto forward = wire::Forward{};
  forward.mService = config::upstreamIdentity("other", "");
  forward.mCandidates = { agentOf(0), agentOf(1) };
  forward.mPacket = makeSealed({ kClient, kServiceAddress, kSealedAck, 1, 1, 10 });
  const auto actions = mAgent.onForward(mNow, mAgent.revision(), forward);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(actions) == nullptr);
  const auto passed = passedOn(actions);
  BOOST_REQUIRE(passed.has_value());
  BOOST_TEST(!passed->mIsDeniedByAll);
}

BOOST_AUTO_TEST_CASE(answers_of_the_upstream_reach_callers_while_the_agent_starts)
{
  const auto answer =
    makeSealed({ kServiceAddress, kClient, kSealedAck, kAnswer + 1, kInitial + 11, 20 });
  BOOST_TEST(findAction<agent::SendToCaller>(mAgent.onUpstreamPacketWhileStarting(answer)) !=
             nullptr);
  BOOST_TEST(findAction<agent::SendToCaller>(
               mAgent.onUpstreamPacketWhileStarting(returned(answer))) == nullptr);
}

BOOST_AUTO_TEST_CASE(an_agent_that_was_there_before_its_upstream_asks_nothing)
{
  constexpr std::uint64_t kStartMs = 1000000;
  Fixture early(kStartMs);
  auto without = makeConfiguration(3, 2);
  without.mServices.at("logbook").mUpstreams.erase(
    without.mServices.at("logbook").mUpstreams.begin(),
    without.mServices.at("logbook").mUpstreams.begin() + 1);
  early.mAgent.apply(mNow, share(without));
  auto with = makeConfiguration(3, 3);
  with.mServices.at("logbook").mUpstreams[0].mStartedAtMs = kStartMs + 3000;
  early.mAgent.apply(mNow, share(with));
  BOOST_TEST(findAction<agent::DeliverToUpstream>(early.data()) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
