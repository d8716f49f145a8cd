#include "agent/chain.hpp"

#include "flow/run_verdict.hpp"
#include "routing/candidates.hpp"

#include <algorithm>
#include <utility>

namespace cornelcross::agent {

namespace {

/// Chunks that a SYN may visit: a service that is full as a whole is not asked as a whole for each
/// new flow.
constexpr std::uint16_t kMaxOpeningChunks = 4;

/// Listings of agents that a packet may be taken along. While histories are being learned no two
/// agents may list the same.
constexpr std::uint8_t kMaxRelisted = 2;

} // namespace

void Chain::configure(config::ConfigurationPtr aConfiguration, std::string aService)
{
  mTable.apply(std::move(aConfiguration));
  mService = std::move(aService);
}

Actions Chain::pass(base::Time aNow, const flow::TcpPacket& aPacket, wire::Forward aForward) const
{
  Actions actions;
  std::size_t next = aForward.mPosition + std::size_t{ 1 };
  for (;;) {
    const std::size_t left = aForward.mCandidates.size() - next;
    const std::size_t suspects = mPeers.deferSuspects(aForward.mCandidates, next);
    if (suspects < left) {
      const flow::Endpoint agent = aForward.mCandidates[next];
      mPeers.noteUse(aNow, agent);
      aForward.mPosition = static_cast<std::uint8_t>(next);
      actions.emplace_back(SendMessage{ agent, std::move(aForward) });
      return actions;
    }
    askSuspects(aNow, aPacket, next, aForward, actions);
    if (!extend(aPacket, aForward)) {
      break;
    }
    std::erase(aForward.mCandidates, mSelf); // has had the packet
    next = 0;
  }
  append(actions, end(aPacket, aForward));
  return actions;
}

bool Chain::hasNext(const wire::Forward& aForward) const
{
  const auto next = aForward.mCandidates.begin() + aForward.mPosition + 1;
  return std::any_of(next, aForward.mCandidates.end(), [this](flow::Endpoint aAgent) {
    return !mPeers.isSuspected(aAgent);
  });
}

void Chain::askSuspects(base::Time aNow,
                        const flow::TcpPacket& aPacket,
                        std::size_t aFirst,
                        wire::Forward& aForward,
                        Actions& aActions) const
{
  for (std::size_t i = aFirst; i < aForward.mCandidates.size(); ++i) {
    const flow::Endpoint suspect = aForward.mCandidates[i];
    mPeers.noteUse(aNow, suspect);
    // Its silence would swallow the packet for those behind it: it gets a copy and the chain goes
    // on. Not so with a SYN, which two upstreams would answer.
    if (mPeers.isDead(aNow, suspect) || aPacket.opensFlow()) {
      continue;
    }
    aForward.mIsUnanimous = false;
    wire::Forward copy = aForward;
    copy.mCandidates = { suspect };
    copy.mPosition = 0;
    copy.mIsComplete = true;
    copy.mIsCopy = true;
    aActions.emplace_back(SendMessage{ suspect, std::move(copy) });
  }
}

routing::Services Chain::servicesOf(const flow::TcpPacket& aPacket) const
{
  routing::Services services;
  mTable.owners(aPacket.mDestination, aPacket.keyFromCaller().hash(), services);
  return services;
}

// Each agent derives the next chunk from its own configuration, and one that lists other candidates
// than the sender begins anew: the balancer may have started after a service or an upstream
// vanished that still holds the flow.
bool Chain::extend(const flow::TcpPacket& aPacket, wire::Forward& aForward) const
{
  if (aForward.mIsCopy || aForward.mInquiry != wire::Inquiry::kNone) {
    return false;
  }
  if (aPacket.opensFlow()) {
    return extendOpening(aPacket, aForward);
  }
  const routing::Services services = servicesOf(aPacket);
  const std::uint64_t own = routing::listing(services);
  const bool isSame = own == aForward.mListing;
  const bool hasBegun = aForward.mListing != 0;
  if (!aForward.mIsComplete && hasBegun) {
    ++aForward.mChunk; // from kNoChunk to the first one
    aForward.mIsUnanimous = aForward.mIsUnanimous && isSame;
  } else if (!isSame && aForward.mRelisted < kMaxRelisted) {
    ++aForward.mRelisted;
    // Two that should know all list different agents.
    aForward.mIsUnanimous = aForward.mIsUnanimous && !hasBegun;
    aForward.mListing = own;
    aForward.mService = services.size() == 1 ? services.front()->identity() : 0;
    aForward.mChunk = 0;
  } else {
    return false;
  }
  routing::OwningChunk chunk =
    routing::owningChunk(services, aPacket.keyFromCaller(), aForward.mChunk, aForward.mCandidates);
  aForward.mCandidates = std::move(chunk.mAgents);
  aForward.mIsComplete = chunk.mIsLast;
  aForward.mIsListedByAgent = true;
  return !aForward.mCandidates.empty();
}

bool Chain::extendOpening(const flow::TcpPacket& aPacket, wire::Forward& aForward) const
{
  const routing::ServiceRoutes* routes = mTable.find(mService);
  if (aForward.mIsComplete || routes == nullptr || aForward.mChunk + 1 >= kMaxOpeningChunks) {
    return false;
  }
  ++aForward.mChunk;
  aForward.mCandidates = routing::openingChunk(*routes, aPacket.keyFromCaller(), aForward.mChunk);
  aForward.mIsComplete = routing::isLastOpeningChunk(*routes, aForward.mChunk);
  return !aForward.mCandidates.empty();
}

// True if every upstream that may hold the flow, as far as this agent knows, has denied it.
bool Chain::isCertain(const flow::TcpPacket& aPacket, const wire::Forward& aForward) const
{
  if (!aForward.mIsUnanimous || !aForward.mIsComplete) {
    return false;
  }
  const routing::Services services = servicesOf(aPacket);
  const bool couldAskAll = std::all_of(
    services.begin(), services.end(), [](const auto* aRoutes) { return aRoutes->isWhole(); });
  return couldAskAll && routing::listing(services) == aForward.mListing;
}

void Chain::askUnsure(const wire::Forward& aForward, wire::Inquiry aInquiry, Actions& aActions)
{
  for (const flow::Endpoint agent : aForward.mUnsure) {
    wire::Forward question = aForward;
    question.mInquiry = aInquiry;
    question.mUnsure.clear();
    question.mCandidates = { agent };
    question.mPosition = 0;
    aActions.emplace_back(SendMessage{ agent, std::move(question) });
  }
}

Actions Chain::addUnsure(flow::Endpoint aSelf, wire::Forward& aForward)
{
  Actions actions;
  if (aForward.mUnsure.size() >= wire::kMaxCandidates) {
    askUnsure(aForward, wire::Inquiry::kAsk, actions);
    aForward.mUnsure.clear();
    aForward.mIsUnanimous = false;
  }
  aForward.mUnsure.push_back(aSelf);
  return actions;
}

Actions Chain::end(const flow::TcpPacket& aPacket, const wire::Forward& aForward) const
{
  if (aPacket.opensFlow()) {
    // True under any configuration: no upstream was given this SYN.
    return { SendToCaller{ mFormat.mMakeReset(aPacket) },
             telemetry::Event{
               telemetry::EventKind::kFlowRefused,
               { { "flow", aPacket.keyFromCaller().toString() },
                 { "verdict", std::string(toString(flow::RunVerdict::kNotRun)) },
                 { "asked", std::to_string(aForward.mPosition + 1) },
                 { "candidates", std::to_string(aForward.mCandidates.size()) },
                 { "revision", std::to_string(mTable.configuration().mRevision) } } } };
  }
  if (!aForward.mUnsure.empty()) {
    // The upstream of the only one left speaks for all; among several, a RST of one is no verdict.
    const bool isFinal = aForward.mUnsure.size() == 1 && isCertain(aPacket, aForward);
    Actions actions;
    askUnsure(aForward, isFinal ? wire::Inquiry::kFinal : wire::Inquiry::kAsk, actions);
    return actions;
  }
  // A RST is never answered with a RST (RFC 9293, section 3.5.2).
  // Otherwise a service or an upstream that nobody here has heard of may hold the flow.
  const bool isKnown = !mFormat.returnsPackets() || mTable.configuration().mIsHistoryComplete;
  if (aPacket.has(flow::kRst) || !isKnown || !isCertain(aPacket, aForward)) {
    return { DropPacket{ DropReason::kNoOwner } };
  }
  return { SendToCaller{ mFormat.mMakeReset(aPacket) },
           telemetry::Event{
             telemetry::EventKind::kFlowReset,
             { { "flow", aPacket.keyFromCaller().toString() },
               { "reason", "denied_by_all" },
               { "verdict", std::string(toString(flow::RunVerdict::kMayHaveRun)) },
               { "candidates", std::to_string(aForward.mCandidates.size()) },
               { "revision", std::to_string(mTable.configuration().mRevision) } } } };
}

} // namespace cornelcross::agent
