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

} // namespace

void Chain::configure(config::ConfigurationPtr aConfiguration, const config::Service* aService)
{
  mConfiguration = std::move(aConfiguration);
  mRoutes.reset();
  if (aService != nullptr) {
    mRoutes.emplace(*mConfiguration, *aService);
  }
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
    const std::size_t asked = aForward.mCandidates.size();
    if (takeNextChunk(aPacket, aForward)) {
      next = 0;
    } else if (addUnasked(aPacket, aForward)) {
      next = asked;
    } else {
      break;
    }
  }
  for (Action& action : end(aPacket, aForward)) {
    actions.push_back(std::move(action));
  }
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

// The balancer may have started after a service or an upstream vanished that still holds the flow.
bool Chain::addUnasked(const flow::TcpPacket& aPacket, wire::Forward& aForward) const
{
  const bool isInLine = !aForward.mIsCopy && aForward.mInquiry == wire::Inquiry::kNone;
  if (aPacket.opensFlow() || !isInLine || !mConfiguration || aForward.mChunk > 0) {
    return false;
  }
  bool isAdded = false;
  std::vector<std::string> names = mConfiguration->servicesAt(aPacket.mDestination);
  if (mRoutes && mRoutes->service().mAddress == aPacket.mDestination) {
    names.push_back(mRoutes->service().mName);
  }
  for (const std::string& name : names) {
    const auto service = mConfiguration->mServices.find(name);
    if (service == mConfiguration->mServices.end()) {
      continue;
    }
    for (const config::Upstream& upstream : service->second.mUpstreams) {
      auto& candidates = aForward.mCandidates;
      const bool isAsked =
        upstream.mAgent == mSelf ||
        std::find(candidates.begin(), candidates.end(), upstream.mAgent) != candidates.end();
      if (!mConfiguration->mayReceive(upstream)) {
        // It may hold the flow and can't be asked.
        aForward.mIsUnanimous = false;
        continue;
      }
      if (isAsked) {
        continue;
      }
      if (candidates.size() >= wire::kMaxCandidates) {
        aForward.mIsUnanimous = false;
        return isAdded;
      }
      candidates.push_back(upstream.mAgent);
      isAdded = true;
    }
  }
  return isAdded;
}

bool Chain::takeNextChunk(const flow::TcpPacket& aPacket, wire::Forward& aForward) const
{
  if (aForward.mIsComplete || !mRoutes) {
    return false;
  }
  if (aPacket.opensFlow() && aForward.mChunk + 1 >= kMaxOpeningChunks) {
    return false;
  }
  ++aForward.mChunk;
  aForward.mCandidates =
    routing::chunkOf(*mRoutes, aPacket.keyFromCaller(), aPacket.opensFlow(), aForward.mChunk);
  aForward.mIsComplete = routing::isLastChunk(*mRoutes, aForward.mChunk);
  return !aForward.mCandidates.empty();
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
    return {
      SendToCaller{ mFormat.mMakeReset(aPacket) },
      telemetry::Event{
        telemetry::EventKind::kFlowRefused,
        { { "flow", aPacket.keyFromCaller().toString() },
          { "verdict", std::string(toString(flow::RunVerdict::kNotRun)) },
          { "asked", std::to_string(aForward.mPosition + 1) },
          { "candidates", std::to_string(aForward.mCandidates.size()) },
          { "revision", std::to_string(mConfiguration ? mConfiguration->mRevision : 0) } } }
    };
  }
  if (!aForward.mUnsure.empty()) {
    // The upstream of the only one left speaks for all; among several, a RST of one is no verdict.
    const bool isFinal =
      aForward.mUnsure.size() == 1 && aForward.mIsUnanimous && aForward.mIsComplete;
    Actions actions;
    askUnsure(aForward, isFinal ? wire::Inquiry::kFinal : wire::Inquiry::kAsk, actions);
    return actions;
  }
  // A RST is never answered with a RST (RFC 9293, section 3.5.2).
  // Otherwise a service or an upstream that nobody here has heard of may hold the flow.
  const bool isCertain =
    !mFormat.returnsPackets() || (mConfiguration && mConfiguration->mIsHistoryComplete);
  if (aPacket.has(flow::kRst) || !aForward.mIsUnanimous || !aForward.mIsComplete || !isCertain) {
    return { DropPacket{ DropReason::kNoOwner } };
  }
  return { SendToCaller{ mFormat.mMakeReset(aPacket) },
           telemetry::Event{
             telemetry::EventKind::kFlowReset,
             { { "flow", aPacket.keyFromCaller().toString() },
               { "reason", "denied_by_all" },
               { "verdict", std::string(toString(flow::RunVerdict::kMayHaveRun)) },
               { "candidates", std::to_string(aForward.mCandidates.size()) },
               { "revision", std::to_string(mConfiguration ? mConfiguration->mRevision : 0) } } } };
}

} // namespace cornelcross::agent
