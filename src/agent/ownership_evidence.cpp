#include "agent/ownership_evidence.hpp"

namespace cornelcross::agent {

namespace {

/// Interval of the attempts until the first outcome.
constexpr base::Duration kFirstAttemptInterval = std::chrono::milliseconds(100);

/// Interval of further attempts, which are made only when another agent asks about a flow. Each
/// accepted attempt costs the upstream a connection.
constexpr base::Duration kAttemptInterval = std::chrono::milliseconds(500);

} // namespace

OwnershipEvidence::OwnershipEvidence(base::Duration aFlowLifetime,
                                     std::optional<flow::Endpoint> aFixedEndpoint,
                                     bool aTriesConnection)
  : mFlowLifetime(aFlowLifetime)
  , mFixedEndpoint(aFixedEndpoint)
  , mTriesConnection(aTriesConnection)
  , mEndpoint(aFixedEndpoint)
{
}

void OwnershipEvidence::restart(base::Time aNow)
{
  mObservedSince = aNow;
  mLastAttemptAt.reset();
  mHasOutcome = false;
  mHasSeenRefusal = false;
}

// Without a fixed endpoint, an unassigned agent does not observe the process that may get its
// upstream's endpoint next.
void OwnershipEvidence::assign(base::Time aNow,
                               std::optional<flow::Endpoint> aEndpoint,
                               std::uint64_t aServiceHash)
{
  const std::optional<flow::Endpoint> endpoint = mFixedEndpoint ? mFixedEndpoint : aEndpoint;
  const bool isOtherService =
    aEndpoint.has_value() && mServiceHash != 0 && mServiceHash != aServiceHash;
  if (endpoint != mEndpoint || isOtherService) {
    mEndpoint = endpoint;
    restart(aNow);
  }
  mObservedSince = mObservedSince.value_or(aNow);
  mServiceHash = aEndpoint ? aServiceHash : mServiceHash;
}

std::optional<flow::Endpoint> OwnershipEvidence::nextAttempt(base::Time aNow, bool aIsNeeded)
{
  if (!mTriesConnection || !mEndpoint || mHasSeenRefusal || (mHasOutcome && !aIsNeeded)) {
    return std::nullopt;
  }
  const base::Duration interval = mHasOutcome ? kAttemptInterval : kFirstAttemptInterval;
  if (mLastAttemptAt && aNow - *mLastAttemptAt < interval) {
    return std::nullopt;
  }
  mLastAttemptAt = aNow;
  return mEndpoint;
}

// An accepted connection proves nothing: the upstream may have run before this process.
void OwnershipEvidence::onAttempt(flow::Endpoint aEndpoint, flow::ConnectionOutcome aOutcome)
{
  if (aEndpoint != mEndpoint) {
    return;
  }
  mHasOutcome = mHasOutcome || aOutcome != flow::ConnectionOutcome::kFailed;
  mHasSeenRefusal = mHasSeenRefusal || aOutcome == flow::ConnectionOutcome::kRefused;
}

bool OwnershipEvidence::areRecordsComplete(base::Time aNow) const
{
  return mHasSeenRefusal || (mObservedSince && aNow - *mObservedSince >= mFlowLifetime);
}

std::string_view OwnershipEvidence::describe(base::Time aNow) const
{
  if (mHasSeenRefusal) {
    return "refused";
  }
  return areRecordsComplete(aNow) ? "aged" : "none";
}

} // namespace cornelcross::agent
