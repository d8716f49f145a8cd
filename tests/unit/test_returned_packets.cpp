#include "agent/flow_manager.hpp"
#include "config/retained_routes.hpp"
#include "unit/support/actions.hpp"
#include "unit/support/candidate_digest.hpp"
#include "unit/support/configuration.hpp"
#include "unit/support/sealed_packets.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace cornelcross;
using namespace cornelcross::test;
using namespace std::chrono_literals;

namespace {

const flow::Endpoint kCaller = *flow::Endpoint::parse("100.64.0.7:40001");
const flow::Endpoint kUpstream{ agentOf(0).mAddress, 7001 };
constexpr std::uint32_t kCallerInitialSequence = 1000;
constexpr std::uint32_t kUpstreamInitialSequence = 77000;

/// Agent whose upstream returns each packet that the upstream does not accept. The other agents
/// have not been queried yet.
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

  agent::Actions forwardPacket(const SealedPacket& aPacket, std::uint8_t aCandidateIndex = 0)
  {
    wire::Forward forward;
    forward.mService = config::upstreamIdentity("logbook", "");
    forward.mIsLastPage = true;
    forward.mCandidateDigest = mCandidateDigest;
    forward.mCandidates = { agentOf(0), agentOf(1), agentOf(2) };
    forward.mCandidateIndex = aCandidateIndex;
    std::swap(forward.mCandidates[0], forward.mCandidates[aCandidateIndex]);
    forward.mPacket = makeSealed(aPacket);
    return mAgent.onForward(mNow, mAgent.revision(), forward);
  }

  agent::Actions forwardSyn(std::uint8_t aCandidateIndex = 0)
  {
    return forwardPacket({ kCaller, kServiceAddress, kSealedSyn, kCallerInitialSequence, 0 },
                         aCandidateIndex);
  }

  agent::Actions forwardData(std::uint8_t aCandidateIndex = 0)
  {
    return forwardPacket({ kCaller,
                           kServiceAddress,
                           kSealedAck,
                           kCallerInitialSequence + 1,
                           kUpstreamInitialSequence + 1,
                           10 },
                         aCandidateIndex);
  }

  /// A packet that the balancer sends to the agent that it has cached as the owner of the flow.
  agent::Actions forwardToCachedOwner()
  {
    wire::Forward forward;
    forward.mPage = wire::kNoPage;
    forward.mIsLastPage = true;
    forward.mCandidateDigest = mCandidateDigest;
    forward.mCandidates = { agentOf(0), agentOf(1), agentOf(2) };
    forward.mPacket = makeData();
    return mAgent.onForward(mNow, mAgent.revision(), forward);
  }

  static flow::Bytes makeData()
  {
    return makeSealed({ kCaller,
                        kServiceAddress,
                        kSealedAck,
                        kCallerInitialSequence + 1,
                        kUpstreamInitialSequence + 1,
                        10 });
  }

  agent::Actions returnDelivered(const agent::Actions& aDelivered)
  {
    const auto* delivered = findAction<agent::DeliverToUpstream>(aDelivered);
    BOOST_REQUIRE(delivered != nullptr);
    return mAgent.onUpstreamPacket(mNow, returned(delivered->mPacket));
  }

  void establish()
  {
    forwardSyn();
    mAgent.onUpstreamPacket(mNow,
                            makeSealed({ kServiceAddress,
                                         kCaller,
                                         kSealedSyn | kSealedAck,
                                         kUpstreamInitialSequence,
                                         kCallerInitialSequence + 1 }));
    forwardData();
  }

  void completeRetainedState()
  {
    auto configuration = makeConfiguration(3, 2);
    configuration.mIsRetainedStateComplete = true;
    mAgent.apply(mNow, share(configuration));
  }

  /// The upstream answers a request of the flow, which its agent has no record of.
  agent::Actions adopt()
  {
    return mAgent.onUpstreamPacket(mNow,
                                   makeSealed({ kServiceAddress,
                                                kCaller,
                                                kSealedAck,
                                                kUpstreamInitialSequence + 1,
                                                kCallerInitialSequence + 11,
                                                20 }));
  }

  /// The upstream repeats its SYN-ACK.
  agent::Actions repeatSynAck()
  {
    return mAgent.onUpstreamPacket(mNow,
                                   makeSealed({ kServiceAddress,
                                                kCaller,
                                                kSealedSyn | kSealedAck,
                                                kUpstreamInitialSequence,
                                                kCallerInitialSequence + 1 }));
  }

  /// The caller's next request, after the answer of adopt().
  agent::Actions forwardNextRequest()
  {
    return forwardPacket({ kCaller,
                           kServiceAddress,
                           kSealedAck,
                           kCallerInitialSequence + 11,
                           kUpstreamInitialSequence + 21,
                           5 });
  }

  /// A packet of the flow at the agent that looks up its owner.
  /// @param aPossibleOwners the agent that a balancer assumes to be the owner, if any
  agent::Actions lookUpOwner(const std::vector<flow::Endpoint>& aPossibleOwners = {})
  {
    wire::Forward forward;
    forward.mIsLastPage = true;
    forward.mIsListFromAgent = true;
    forward.mCandidateDigest = mCandidateDigest;
    forward.mCandidates = { agentOf(0) };
    forward.mPossibleOwners = aPossibleOwners;
    forward.mPacket = makeSealed({ kCaller, kServiceAddress, kSealedAck, 1, 1, 10 });
    return mAgent.onForward(mNow, mAgent.revision(), forward);
  }

  /// Replies to the queries in aActions, each with the ownership that aOwnerships states.
  agent::Actions replyToLookups(const agent::Actions& aActions,
                                const std::map<flow::Endpoint, wire::FlowOwnership>& aOwnerships)
  {
    agent::Actions last;
    for (const auto& action : aActions) {
      const auto* message = std::get_if<agent::SendMessage>(&action);
      const auto* lookup =
        message == nullptr ? nullptr : std::get_if<wire::OwnerLookup>(&message->mMessage);
      if (lookup != nullptr) {
        last = mAgent.onOwnerLookupReply(mNow,
                                         message->mTo,
                                         mAgent.revision(),
                                         { lookup->mRound, { aOwnerships.at(message->mTo) } });
      }
    }
    return last;
  }

  wire::FlowOwnership ownership(const agent::Actions& aReply) const
  {
    return std::get<wire::OwnerLookupReply>(findAction<agent::SendMessage>(aReply)->mMessage)
      .mOwnerships.at(0);
  }

  static std::optional<wire::Forward> forwardedMessage(const agent::Actions& aActions)
  {
    const auto* message = findAction<agent::SendMessage>(aActions);
    return message == nullptr ? std::nullopt
                              : std::optional(std::get<wire::Forward>(message->mMessage));
  }

  base::Time mNow{ 100s };
  flow::FlowKey mFlow{ kCaller, kServiceAddress };
  std::uint64_t mCandidateDigest = candidateDigestOf(makeConfiguration(3));
  agent::FlowManager mAgent;
};

/// Agents that get a copy of a packet.
std::set<flow::Endpoint> copiedTo(const agent::Actions& aActions)
{
  std::set<flow::Endpoint> agents;
  for (const auto& action : aActions) {
    const auto* message = std::get_if<agent::SendMessage>(&action);
    if (message != nullptr && std::holds_alternative<wire::Forward>(message->mMessage)) {
      agents.insert(message->mTo);
    }
  }
  return agents;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(returned_packets, Fixture)

BOOST_AUTO_TEST_CASE(a_returned_syn_is_forwarded_as_its_sender_wrote_it)
{
  const auto forward = forwardedMessage(returnDelivered(forwardSyn()));
  BOOST_REQUIRE(forward.has_value());
  BOOST_TEST((forward->mCandidates[forward->mCandidateIndex] == agentOf(1)));
  BOOST_TEST((forward->mPacket ==
              makeSealed({ kCaller, kServiceAddress, kSealedSyn, kCallerInitialSequence, 0 })));
  BOOST_TEST(mAgent.flows().size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_syn_that_every_upstream_returns_is_refused_at_once)
{
  const auto actions = returnDelivered(forwardSyn(2));
  BOOST_TEST(findAction<agent::SendToCaller>(actions) != nullptr);
  BOOST_TEST(findAction<agent::SendMessage>(actions) == nullptr);
}

BOOST_AUTO_TEST_CASE(a_retransmitted_syn_that_the_upstream_left_unanswered_is_forwarded)
{
  forwardSyn();
  mNow += 200ms;
  const auto actions = forwardSyn();
  BOOST_TEST(findAction<agent::DeliverToUpstream>(actions) == nullptr);
  BOOST_REQUIRE(forwardedMessage(actions).has_value());
}

BOOST_AUTO_TEST_CASE(a_flow_that_the_upstream_lost_is_reset_at_once)
{
  establish();
  const auto actions = returnDelivered(forwardData());
  const auto* reset = findAction<agent::SendToCaller>(actions);
  BOOST_REQUIRE(reset != nullptr);
  const auto packet = platform::parsePacket(reset->mPacket);
  BOOST_TEST(packet->has(flow::kRst));
  BOOST_TEST(packet->mSequence == kUpstreamInitialSequence + 1);
  BOOST_TEST(mAgent.flows().size() == 0U);
}

BOOST_AUTO_TEST_CASE(
  a_packet_of_an_unknown_flow_is_delivered_and_forwarded_if_the_upstream_returns_it)
{
  const auto forward = forwardedMessage(returnDelivered(forwardToCachedOwner()));
  BOOST_REQUIRE(forward.has_value());
  BOOST_TEST(forward->mIsDeniedByAll);
  BOOST_TEST(forward->mHops == 1); // upstreams that the packet has reached
  // The agent does not query the upstream again for the next packet of the flow.
  BOOST_TEST(findAction<agent::DeliverToUpstream>(forwardToCachedOwner()) == nullptr);
}

// Guards against packets of a living flow that reach several upstreams on their way, and are lost
// before they reach its own: agents that were restarted each delivered them to find out.
BOOST_AUTO_TEST_CASE(an_agent_along_the_chain_leaves_an_unknown_flow_to_the_lookup)
{
  const auto forward = forwardedMessage(forwardData());
  BOOST_REQUIRE(forward.has_value());
  BOOST_TEST(!forward->mIsDeniedByAll);
}

// Guards against the same by balancers without an entry for the flow, each of which assumes another
// owner.
BOOST_AUTO_TEST_CASE(an_agent_that_is_only_assumed_to_be_the_owner_is_tried_by_the_lookup)
{
  wire::Forward assumed;
  assumed.mPage = wire::kNoPage;
  assumed.mHops = 1;
  assumed.mCandidateDigest = mCandidateDigest;
  assumed.mCandidates = { agentOf(0) };
  assumed.mPacket = makeData();
  const auto passedOn = mAgent.onForward(mNow, mAgent.revision(), assumed);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(passedOn) == nullptr);
  const auto lookup = lookUpOwner({ agentOf(2) });
  BOOST_TEST((copiedTo(lookup) == std::set{ agentOf(2) }));
}

BOOST_AUTO_TEST_CASE(an_unknown_flow_that_the_upstream_answers_is_adopted)
{
  forwardToCachedOwner();
  adopt();
  BOOST_TEST(mAgent.flows().size() == 1U);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(forwardPacket({ kCaller,
                                                                  kServiceAddress,
                                                                  kSealedAck,
                                                                  kCallerInitialSequence + 11,
                                                                  kUpstreamInitialSequence + 21,
                                                                  5 })) != nullptr);
}

BOOST_AUTO_TEST_CASE(a_flow_that_every_agent_denies_is_reset_only_if_the_retained_state_is_complete)
{
  BOOST_TEST(findAction<agent::SendToCaller>(returnDelivered(forwardToCachedOwner())) == nullptr);
  BOOST_TEST(findAction<agent::SendToCaller>(forwardData(2)) == nullptr);
  completeRetainedState();
  BOOST_TEST(findAction<agent::SendToCaller>(forwardData(2)) != nullptr);
}

BOOST_AUTO_TEST_CASE(a_flow_is_not_reset_while_an_upstream_that_may_own_it_is_out_of_service)
{
  auto configuration = makeConfiguration(3, 2);
  configuration.mIsRetainedStateComplete = true;
  configuration.mZones["b"] = { "b", false };
  mAgent.apply(mNow, share(configuration));
  const auto actions = forwardData(2);
  BOOST_TEST(findAction<agent::SendToCaller>(actions) == nullptr);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(actions) == nullptr);
}

/// Configuration of a process that finds the zone "b" out of service at its start. The documents
/// state that all upstreams started shortly after the process.
config::ConfigurationPtr afterPowerLoss()
{
  constexpr std::uint64_t kProcessMs = 1000000;
  config::RetainedRoutes routes(60s, 2s, kProcessMs);
  auto configuration = makeConfiguration(3, 2);
  configuration.mZones["b"] = { "b", false };
  auto& upstreams = configuration.mServices.at("logbook").mUpstreams;
  for (const std::size_t i : { 0U, 1U, 2U }) { // upstream 1 is in "b"
    upstreams[i].mStartedAtMs = kProcessMs + 300;
  }
  return routes.apply(base::Time{ 1s }, share(configuration));
}

// Guards against resets of living flows after a zone got its power back, took flows and was taken
// out of service at once: a process that started afterwards inferred from the starts in the
// documents that no upstream of the zone owned a flow, although the agent of the owner had also
// started since and could not deny the flow.
BOOST_AUTO_TEST_CASE(a_process_that_starts_while_a_zone_is_out_cannot_deny_for_its_upstreams)
{
  const auto configuration = afterPowerLoss();
  mCandidateDigest = candidateDigestOf(*configuration);
  mAgent.apply(mNow, configuration);
  mAgent.onConnectionAttempt(mNow, kUpstream, flow::ConnectionOutcome::kRefused);
  const auto undecided = replyToLookups(lookUpOwner(),
                                        { { agentOf(1), wire::FlowOwnership::kUnknown },
                                          { agentOf(2), wire::FlowOwnership::kDenied } });
  BOOST_TEST(findAction<agent::SendToCaller>(undecided) == nullptr);
  // The denial of the agent beside the upstream ends the flow.
  mNow += 200ms;
  const auto denied =
    replyToLookups(lookUpOwner(), { { agentOf(1), wire::FlowOwnership::kDenied } });
  BOOST_TEST(findAction<agent::SendToCaller>(denied) != nullptr);
}

// Guards against packets of a living flow at upstreams that do not own it, by the same inference.
BOOST_AUTO_TEST_CASE(a_process_that_starts_while_a_zone_is_out_sends_no_copies_of_packets)
{
  const auto configuration = afterPowerLoss();
  mCandidateDigest = candidateDigestOf(*configuration);
  mAgent.apply(mNow, configuration);
  const auto queries = lookUpOwner();
  BOOST_TEST(findAction<agent::DeliverToUpstream>(queries) == nullptr);
  const auto actions = replyToLookups(queries,
                                      { { agentOf(1), wire::FlowOwnership::kUnknown },
                                        { agentOf(2), wire::FlowOwnership::kUnknown } });
  BOOST_TEST(findAction<agent::SendMessage>(actions) == nullptr);
}

// Guards against resets of living flows by the starts that documents state: a zone gets its power
// back, takes flows and is taken out of service at once, while processes elsewhere start.
BOOST_AUTO_TEST_CASE(a_flow_of_an_upstream_out_of_service_is_not_reset_if_its_agent_owns_the_flow)
{
  const auto configuration = afterPowerLoss();
  mCandidateDigest = candidateDigestOf(*configuration);
  mAgent.apply(mNow, configuration);
  mAgent.onConnectionAttempt(mNow, kUpstream, flow::ConnectionOutcome::kRefused);
  const auto actions = replyToLookups(
    lookUpOwner(),
    { { agentOf(1), wire::FlowOwnership::kOwned }, { agentOf(2), wire::FlowOwnership::kDenied } });
  BOOST_TEST(findAction<agent::SendToCaller>(actions) == nullptr);
  BOOST_TEST(findAction<agent::SendMessage>(actions) == nullptr);
  // The owner is stored, so that further packets cause no lookup.
  BOOST_TEST(findAction<agent::SendMessage>(lookUpOwner()) == nullptr);
}

// Guards against packets of a living flow that reach several other upstreams during an evacuation,
// because agents that have just started look for its owner.
BOOST_AUTO_TEST_CASE(packets_of_a_flow_that_may_be_out_of_service_reach_one_other_upstream_at_most)
{
  auto configuration = makeConfiguration(3, 2);
  configuration.mIsRetainedStateComplete = true;
  configuration.mZones["b"] = { "b", false };
  mCandidateDigest = candidateDigestOf(configuration);
  mAgent.apply(mNow, share(configuration));
  BOOST_TEST(findAction<agent::DeliverToUpstream>(forwardData()) == nullptr);
  const auto queries = lookUpOwner();
  BOOST_TEST(findAction<agent::DeliverToUpstream>(queries) == nullptr);
  const auto actions = replyToLookups(queries,
                                      { { agentOf(1), wire::FlowOwnership::kUnknown },
                                        { agentOf(2), wire::FlowOwnership::kUnknown } });
  BOOST_TEST(findAction<agent::SendMessage>(actions) == nullptr); // no copies
  wire::Forward likely;
  likely.mPage = wire::kNoPage;
  likely.mCandidateDigest = mCandidateDigest;
  likely.mCandidates = { agentOf(0) };
  likely.mPacket = makeSealed({ kCaller, kServiceAddress, kSealedAck, 1, 1, 10 });
  const auto first = mAgent.onForward(mNow, mAgent.revision(), likely);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(first) != nullptr);
  const auto second = mAgent.onForward(mNow, mAgent.revision(), likely);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(second) == nullptr);
}

/// Configuration in which the zone "b" drains.
config::ConfigurationPtr whileDraining()
{
  auto configuration = makeConfiguration(3, 2);
  configuration.mIsRetainedStateComplete = true;
  configuration.mZones["b"] = { "b", false, true };
  return share(configuration);
}

// Guards against packets of a living flow that reach only other upstreams: agents end the draining
// of a zone at different times, the owner's agent already drops the packets, and each agent without
// evidence that still drains the zone queries its upstream.
BOOST_AUTO_TEST_CASE(only_the_likely_owner_queries_its_upstream_while_a_zone_drains)
{
  const auto configuration = whileDraining();
  mCandidateDigest = candidateDigestOf(*configuration);
  mAgent.apply(mNow, configuration);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(forwardData()) == nullptr);
  wire::Forward likely;
  likely.mPage = wire::kNoPage;
  likely.mCandidateDigest = mCandidateDigest;
  likely.mCandidates = { agentOf(0) };
  likely.mPacket = makeSealed({ kCaller, kServiceAddress, kSealedAck, 1, 1, 10 });
  const auto actions = mAgent.onForward(mNow, mAgent.revision(), likely);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(actions) != nullptr);
}

// Guards against the same by copies: agents end the draining of the zone at different times.
BOOST_AUTO_TEST_CASE(no_copies_are_sent_while_an_agent_of_a_zone_that_drains_may_own_the_flow)
{
  const auto configuration = whileDraining();
  mCandidateDigest = candidateDigestOf(*configuration);
  mAgent.apply(mNow, configuration);
  const auto first = replyToLookups(lookUpOwner(),
                                    { { agentOf(1), wire::FlowOwnership::kUndeliverable },
                                      { agentOf(2), wire::FlowOwnership::kUnknown } });
  BOOST_TEST(copiedTo(first).empty());
  mNow += 200ms;
  const auto second = replyToLookups(lookUpOwner(),
                                     { { agentOf(1), wire::FlowOwnership::kDenied },
                                       { agentOf(2), wire::FlowOwnership::kUnknown } });
  BOOST_TEST((copiedTo(second) == std::set{ agentOf(0), agentOf(2) }));
}

BOOST_AUTO_TEST_CASE(an_agent_in_a_zone_that_drains_states_that_it_may_not_deliver)
{
  auto configuration = makeConfiguration(3, 2);
  configuration.mZones["a"] = { "a", false, true };
  mAgent.apply(mNow, share(configuration));
  const auto unknown = mAgent.onOwnerLookup(mNow, agentOf(1), { 1, { mFlow } });
  BOOST_TEST((ownership(unknown) == wire::FlowOwnership::kUndeliverable));
}

// Guards against resets of living flows by the order of a start that a document states and the time
// at which this process received the removal of the zone: other processes may have received it
// later, and the clocks of two VMs differ.
BOOST_AUTO_TEST_CASE(an_upstream_out_of_service_may_own_the_flow_whenever_it_started)
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
  std::map<flow::Endpoint, wire::FlowOwnership> replies{
    { agentOf(1), wire::FlowOwnership::kUnknown }, { agentOf(2), wire::FlowOwnership::kDenied }
  };
  mAgent.onConnectionAttempt(mNow, kUpstream, flow::ConnectionOutcome::kRefused);
  const auto before = replyToLookups(lookUpOwner(), replies);
  BOOST_TEST(findAction<agent::SendToCaller>(before) == nullptr);
  upstreams[1].mStartedAtMs = 1000000 + 30000;
  configuration.mRevision = 4;
  mAgent.apply(mNow, routes.apply(base::Time{ 31s }, share(configuration)));
  mNow += 200ms;
  const auto after = replyToLookups(lookUpOwner(), replies);
  BOOST_TEST(findAction<agent::SendToCaller>(after) == nullptr);
  replies[agentOf(1)] = wire::FlowOwnership::kDenied;
  mNow += 200ms;
  const auto denied = replyToLookups(lookUpOwner(), replies);
  BOOST_TEST(findAction<agent::SendToCaller>(denied) != nullptr);
}

// Guards against packets of a living flow at other upstreams as its zone returns: for the agent
// that looks up the owner it is in service again, for the owner's agent, which was restarted, it is
// not.
BOOST_AUTO_TEST_CASE(no_copies_are_sent_to_all_while_an_agent_would_not_deliver_its_own)
{
  auto configuration = makeConfiguration(5, 2);
  configuration.mIsRetainedStateComplete = true;
  mCandidateDigest = candidateDigestOf(configuration);
  mAgent.apply(mNow, share(configuration));
  std::map<flow::Endpoint, wire::FlowOwnership> replies;
  for (const std::uint32_t i : { 1U, 2U, 3U, 4U }) {
    replies[agentOf(i)] = wire::FlowOwnership::kUnknown;
  }
  replies[agentOf(1)] = wire::FlowOwnership::kUndeliverable;
  std::size_t copies = copiedTo(replyToLookups(lookUpOwner(), replies)).size();
  for (int tick = 0; tick < 30; ++tick) {
    mNow += 100ms;
    const auto round = mAgent.onLookupTimer(mNow);
    copies += copiedTo(round).size() + copiedTo(replyToLookups(round, replies)).size();
  }
  BOOST_TEST(copies == 0U);
  for (auto& [agent, ownership] : replies) {
    ownership = wire::FlowOwnership::kUnknown; // the zone has returned there too
  }
  mNow += 1s;
  BOOST_TEST(copiedTo(replyToLookups(lookUpOwner(), replies)).size() == replies.size() + 1);
}

// Guards against a lookup that finds no owner: an agent in a zone out of service states that it may
// own the flow but would not deliver a packet, and the one that asks has the zone in service.
BOOST_AUTO_TEST_CASE(an_agent_in_a_zone_out_of_service_states_that_it_would_not_deliver)
{
  auto configuration = makeConfiguration(3, 2);
  configuration.mZones["a"] = { "a", false };
  mAgent.apply(mNow, share(configuration));
  const auto unknown = mAgent.onOwnerLookup(mNow, agentOf(1), { 1, { mFlow } });
  BOOST_TEST((ownership(unknown) == wire::FlowOwnership::kUndeliverable));
}

BOOST_AUTO_TEST_CASE(an_owner_states_so_whatever_the_state_of_its_zone)
{
  establish();
  auto configuration = makeConfiguration(3, 2);
  configuration.mZones["a"] = { "a", false };
  mAgent.apply(mNow, share(configuration));
  const auto owned = mAgent.onOwnerLookup(mNow, agentOf(1), { 1, { mFlow } });
  BOOST_TEST((ownership(owned) == wire::FlowOwnership::kOwned));
}

// Guards against resets of living flows: an agent that was restarted takes a late copy of the SYN
// of an open flow for a new flow, and denies the flow when its next packet does not fit.
BOOST_AUTO_TEST_CASE(a_late_copy_of_a_syn_at_a_new_agent_leaves_the_flow_undenied)
{
  forwardSyn();
  repeatSynAck();
  const auto forward = forwardedMessage(forwardNextRequest());
  BOOST_REQUIRE(forward.has_value());
  BOOST_TEST(!forward->mIsDeniedByAll);
  const auto reply = mAgent.onOwnerLookup(mNow, agentOf(1), { 1, { mFlow } });
  BOOST_TEST((ownership(reply) == wire::FlowOwnership::kUnknown));
}

// Guards against the same by a record that was adopted: it has no initial sequence number, so that
// the repeated SYN-ACK was taken for that of a new connection.
BOOST_AUTO_TEST_CASE(a_late_copy_of_a_syn_leaves_an_adopted_flow_open)
{
  forwardToCachedOwner();
  adopt();
  forwardSyn();
  const auto answered = repeatSynAck();
  BOOST_TEST(findAction<telemetry::Event>(answered) == nullptr); // closes no flow
  BOOST_TEST(findAction<agent::DeliverToUpstream>(forwardNextRequest()) != nullptr);
  const auto reply = mAgent.onOwnerLookup(mNow, agentOf(1), { 1, { mFlow } });
  BOOST_TEST((ownership(reply) == wire::FlowOwnership::kOwned));
}

// An upstream that lost an adopted flow accepts a SYN that reuses its port.
BOOST_AUTO_TEST_CASE(a_new_connection_replaces_an_adopted_flow)
{
  forwardToCachedOwner();
  adopt();
  forwardPacket({ kCaller, kServiceAddress, kSealedSyn, 900000000, 0 });
  const auto answered = mAgent.onUpstreamPacket(
    mNow,
    makeSealed({ kServiceAddress, kCaller, kSealedSyn | kSealedAck, 3000000000U, 900000001 }));
  BOOST_TEST(findAction<telemetry::Event>(answered) != nullptr); // closes the former flow
}

BOOST_AUTO_TEST_CASE(an_agent_that_looks_up_an_owner_queries_agents_that_the_balancer_did_not_list)
{
  mAgent.apply(mNow, share(makeConfiguration(4, 2)));
  wire::Forward forward;
  forward.mIsLastPage = true;
  forward.mIsListFromAgent = true;
  forward.mCandidateDigest = mCandidateDigest;
  forward.mCandidates = { agentOf(0) };
  forward.mPacket = makeSealed({ kCaller, kServiceAddress, kSealedAck, 1, 1, 10 });
  std::set<flow::Endpoint> queried;
  const auto queries = mAgent.onForward(mNow, mAgent.revision(), forward);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(queries) == nullptr);
  for (const auto& action : queries) {
    if (const auto* message = std::get_if<agent::SendMessage>(&action)) {
      BOOST_TEST(std::holds_alternative<wire::OwnerLookup>(message->mMessage));
      queried.insert(message->mTo);
    }
  }
  BOOST_TEST((queried == std::set{ agentOf(1), agentOf(2), agentOf(3) }));
}

BOOST_AUTO_TEST_CASE(the_balancer_receives_an_update_about_an_owner_that_it_did_not_name)
{
  establish();
  wire::Forward forward;
  forward.mIngress = *flow::Endpoint::parse("127.0.1.1:7000");
  forward.mCandidates = { agentOf(0) };
  forward.mPage = wire::kNoPage;
  forward.mPacket = makeSealed({ kCaller,
                                 kServiceAddress,
                                 kSealedAck,
                                 kCallerInitialSequence + 1,
                                 kUpstreamInitialSequence + 1,
                                 10 });
  const auto named = mAgent.onForward(mNow, mAgent.revision(), forward);
  BOOST_TEST(findAction<agent::SendMessage>(named) == nullptr);
  // The list of candidates comes from an agent, not from the balancer: the agent that the balancer
  // had named listed the others.
  forward.mPage = 0;
  forward.mIsListFromAgent = true;
  const auto found = mAgent.onForward(mNow, mAgent.revision(), forward);
  const auto* update = findAction<agent::SendMessage>(found);
  BOOST_REQUIRE(update != nullptr);
  BOOST_TEST((std::get<wire::OwnerUpdate>(update->mMessage).mOwner == agentOf(0)));
}

BOOST_AUTO_TEST_CASE(a_copy_for_a_suspected_agent_is_not_forwarded)
{
  wire::Forward copy;
  copy.mService = config::upstreamIdentity("logbook", "");
  copy.mCandidates = { agentOf(0) };
  copy.mIsLastPage = true;
  copy.mIsCopy = true;
  copy.mIsDeniedByAll = false;
  copy.mPacket = makeSealed({ kCaller, kServiceAddress, kSealedAck, 1, 1, 10 });
  const auto delivered = mAgent.onForward(mNow, mAgent.revision(), copy);
  BOOST_TEST(findAction<agent::SendMessage>(returnDelivered(delivered)) == nullptr);
  BOOST_TEST(findAction<agent::SendMessage>(mAgent.onForward(mNow, mAgent.revision(), copy)) ==
             nullptr);
}

BOOST_AUTO_TEST_CASE(a_syn_is_dropped_after_too_many_hops_among_agents_of_different_configurations)
{
  wire::Forward forward;
  forward.mService = config::upstreamIdentity("logbook", "");
  forward.mCandidates = { agentOf(0), agentOf(1) };
  forward.mHops = 128;
  forward.mPacket = makeSealed({ kCaller, kServiceAddress, kSealedSyn, kCallerInitialSequence, 0 });
  const auto actions = mAgent.onForward(mNow, mAgent.revision(), forward);
  const auto* drop = findAction<agent::DropPacket>(actions);
  BOOST_REQUIRE(drop != nullptr);
  BOOST_TEST((drop->mReason == agent::DropReason::kTooManyHops));
}

BOOST_AUTO_TEST_CASE(an_agent_that_serves_another_service_now_forwards_the_flow)
{
  auto forward = wire::Forward{};
  forward.mService = config::upstreamIdentity("other", "");
  forward.mCandidates = { agentOf(0), agentOf(1) };
  forward.mPacket = makeSealed({ kCaller, kServiceAddress, kSealedAck, 1, 1, 10 });
  const auto actions = mAgent.onForward(mNow, mAgent.revision(), forward);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(actions) == nullptr);
  const auto forwarded = forwardedMessage(actions);
  BOOST_REQUIRE(forwarded.has_value());
  BOOST_TEST(!forwarded->mIsDeniedByAll);
}

BOOST_AUTO_TEST_CASE(responses_of_the_upstream_reach_callers_while_the_agent_starts)
{
  const auto response = makeSealed({ kServiceAddress,
                                     kCaller,
                                     kSealedAck,
                                     kUpstreamInitialSequence + 1,
                                     kCallerInitialSequence + 11,
                                     20 });
  BOOST_TEST(findAction<agent::SendToCaller>(mAgent.onUpstreamPacketWhileStarting(response)) !=
             nullptr);
  BOOST_TEST(findAction<agent::SendToCaller>(
               mAgent.onUpstreamPacketWhileStarting(returned(response))) == nullptr);
}

BOOST_AUTO_TEST_CASE(an_agent_that_saw_no_upstream_run_sends_no_query)
{
  mAgent.onConnectionAttempt(mNow, kUpstream, flow::ConnectionOutcome::kRefused);
  BOOST_TEST(findAction<agent::DeliverToUpstream>(forwardData()) == nullptr);
  const auto reply = mAgent.onOwnerLookup(mNow, agentOf(1), { 1, { mFlow } });
  BOOST_TEST((ownership(reply) == wire::FlowOwnership::kDenied));
}

// Guards against resets of living flows: the documents of a peer state an earlier start of the
// upstream or none, and the start in the next document is taken for a restart that the agent saw.
BOOST_AUTO_TEST_CASE(another_start_of_the_upstream_in_a_document_is_no_proof)
{
  constexpr std::uint64_t kStartMs = 1000000;
  for (const std::uint64_t first : { std::uint64_t{ 0 }, kStartMs - 5000, kStartMs + 5000 }) {
    Fixture started(kStartMs);
    std::uint64_t revision = 2;
    for (const std::uint64_t startedAtMs : { first, kStartMs - 300, kStartMs + 2000 }) {
      auto configuration = makeConfiguration(3, revision++);
      configuration.mServices.at("logbook").mUpstreams[0].mStartedAtMs = startedAtMs;
      started.mAgent.apply(started.mNow, share(configuration));
      const auto reply = started.mAgent.onOwnerLookup(started.mNow, agentOf(1), { 1, { mFlow } });
      BOOST_TEST((ownership(reply) == wire::FlowOwnership::kUnknown));
    }
  }
}

// Guards against resets of living flows: an upstream that only other documents list appears, and is
// taken for one that started beside the running agent.
BOOST_AUTO_TEST_CASE(an_upstream_that_appears_in_a_later_document_is_no_proof)
{
  constexpr std::uint64_t kStartMs = 1000000;
  Fixture early(kStartMs);
  auto withoutUpstream = makeConfiguration(3, 2);
  withoutUpstream.mServices.at("logbook").mUpstreams.erase(
    withoutUpstream.mServices.at("logbook").mUpstreams.begin(),
    withoutUpstream.mServices.at("logbook").mUpstreams.begin() + 1);
  early.mAgent.apply(mNow, share(withoutUpstream));
  auto withUpstream = makeConfiguration(3, 3);
  withUpstream.mServices.at("logbook").mUpstreams[0].mStartedAtMs = kStartMs + 3000;
  early.mAgent.apply(mNow, share(withUpstream));
  BOOST_TEST(findAction<agent::DeliverToUpstream>(early.forwardToCachedOwner()) != nullptr);
}

// Pattern: an upstream ends and none replaces it. Its agent is left without an upstream.
BOOST_AUTO_TEST_CASE(an_agent_without_an_upstream_denies_flows_only_if_none_runs_beside_it)
{
  agent::FlowManager left({ .mSelf = agentOf(0),
                            .mUpstreamAddress = kUpstream,
                            .mUpstreamAcceptsTcp = true,
                            .mRecoveryWindow = 60s },
                          platform::packetFormat());
  const auto atStart = left.tryUpstream(mNow);
  BOOST_REQUIRE(findAction<agent::ConnectToUpstream>(atStart) != nullptr);
  left.onConnectionAttempt(mNow, kUpstream, flow::ConnectionOutcome::kAccepted);
  auto configuration = makeConfiguration(3);
  auto& upstreams = configuration.mServices.at("logbook").mUpstreams;
  upstreams.erase(upstreams.begin(), upstreams.begin() + 1);
  left.apply(mNow, share(configuration));
  mNow += 61s;
  const auto asked = left.onOwnerLookup(mNow, agentOf(1), { 1, { mFlow } });
  BOOST_TEST((ownership(asked) == wire::FlowOwnership::kUndeliverable));
  BOOST_REQUIRE(findAction<agent::ConnectToUpstream>(asked) != nullptr);
  const auto logged = left.onConnectionAttempt(mNow, kUpstream, flow::ConnectionOutcome::kRefused);
  BOOST_TEST(findAction<telemetry::Event>(logged) != nullptr);
  const auto denied = left.onOwnerLookup(mNow, agentOf(1), { 2, { mFlow } });
  BOOST_TEST((ownership(denied) == wire::FlowOwnership::kDenied));
}

BOOST_AUTO_TEST_SUITE_END()
