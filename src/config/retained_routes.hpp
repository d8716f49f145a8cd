#pragma once

#include "base/time.hpp"
#include "config/configuration.hpp"
#include "config/retained_state.hpp"

#include <optional>

namespace cornelcross::config {

/// @brief Keeps for a while what vanished from the documents but may still hold flows: upstreams,
/// as UpstreamState::kRemoved, and services behind an address, with weight 0.
///
/// An upstream is forgotten once its lifetime is over, once it is listed again, or once another one
/// is listed with its agent or its address; a service behind an address likewise. An address whose
/// document is deleted takes its flows with it. A zone that is taken out closes for a while before
/// it is out. Deterministic: time comes with each call.
class RetainedRoutes
{
public:
  /// @param aLifetime     longest time that a flow lasts after its route vanished
  /// @param aZoneGrace    time in which established flows of a zone that is taken out may end
  /// @param aStartedAtMs  wall clock of this process's start; 0 if not known
  /// @param aRetainsLeaving keeps upstreams that vanish while they are leaving: their flows may not
  ///                      have ended
  RetainedRoutes(base::Duration aLifetime,
                 base::Duration aZoneGrace,
                 std::uint64_t aStartedAtMs,
                 bool aRetainsLeaving = false)
    : mLifetime(aLifetime)
    , mZoneDrainTime(aZoneGrace)
    , mStartedAtMs(aStartedAtMs)
    , mRetainsLeaving(aRetainsLeaving)
  {
  }

  /// @brief Takes over what the documents declare. @return what is to be in force
  ConfigurationPtr apply(base::Time aNow, ConfigurationPtr aDeclared);

  /// @brief Takes over what another process remembers. @return what is to be in force
  ConfigurationPtr merge(base::Time aNow, const RetainedState& aRetainedState);

  /// @brief Forgets what has been kept for its lifetime. @return what is to be in force from now
  /// on; empty if nothing changed
  ConfigurationPtr expire(base::Time aNow);

  /// @brief What this process remembers.
  RetainedState retainedState(base::Time aNow) const;

  /// @brief True if nothing is missing: this process has run for the lifetime of a flow, was there
  /// before every upstream, or has heard from one that was.
  bool isComplete() const { return mIsComplete; }

private:
  template<class T>
  struct Kept
  {
    T mEntry;
    base::Time mSince;
  };

  void applyServices(base::Time aNow, const Configuration& aNext);
  void applyZones(base::Time aNow, const Configuration& aNext);
  void applyAddresses(base::Time aNow, const Configuration& aNext);
  void collect(base::Time aNow, const Service& aBefore, const Service* aAfter);
  void forgetListed(const Service& aService);
  void forgetShares(const Configuration& aNext);
  bool isFirst() const { return mDeclared->mRevision == 0; }
  std::uint64_t outSince(base::Time aNow) const;
  bool wasFirst(const Configuration& aDeclared) const;
  void add(base::Time aSince, RemovedUpstream aGone);
  void add(base::Time aSince, RemovedShare aGone);
  ConfigurationPtr combine() const;

  base::Duration mLifetime;
  base::Duration mZoneDrainTime;
  std::uint64_t mStartedAtMs;
  bool mRetainsLeaving;
  std::optional<base::Time> mFirstApplied;
  bool mIsComplete = false;
  ConfigurationPtr mDeclared = std::make_shared<const Configuration>();
  std::vector<Kept<RemovedUpstream>> mUpstreams;
  std::vector<Kept<RemovedShare>> mShares;
  std::map<std::string, base::Time> mDrainingZones;    ///< until when
  std::map<std::string, std::uint64_t> mZonesOutSince; ///< see AvailabilityZone::mOutSinceMs
};

} // namespace cornelcross::config
