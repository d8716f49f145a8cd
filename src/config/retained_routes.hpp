#pragma once

#include "base/time.hpp"
#include "config/configuration.hpp"
#include "config/retained_state.hpp"

#include <optional>

namespace cornelcross::config {

/// @brief Retains routes that were removed from the documents but may still own flows: upstreams,
/// as UpstreamState::kRemoved, and services behind an address, with weight 0.
///
/// A removed upstream is dropped when its lifetime ends, when its document lists the upstream
/// again, or when another upstream is listed with the same agent or address. A removed service of
/// an address is dropped when its lifetime ends, when the document of the address lists the service
/// again, or when that document is deleted, which also ends the flows to the address. A zone that
/// is taken out of service drains first. Deterministic: each call receives the current time.
class RetainedRoutes
{
public:
  /// @param aLifetime       longest time that a flow lasts after the removal of its route
  /// @param aZoneDrainTime  time for which established flows may continue after their zone was
  /// taken
  ///                        out of service; 0 disables draining
  /// @param aStartedAtMs    wall clock of the start of this process; 0 if unknown
  /// @param aRetainsLeaving retains upstreams that are removed while they are leaving, since their
  ///                        flows may not have ended
  RetainedRoutes(base::Duration aLifetime,
                 base::Duration aZoneDrainTime,
                 std::uint64_t aStartedAtMs,
                 bool aRetainsLeaving = false)
    : mLifetime(aLifetime)
    , mZoneDrainTime(aZoneDrainTime)
    , mStartedAtMs(aStartedAtMs)
    , mRetainsLeaving(aRetainsLeaving)
  {
  }

  /// @brief Replaces the configuration that the documents declare.
  /// @return the configuration to activate, including retained routes
  ConfigurationPtr apply(base::Time aNow, ConfigurationPtr aDeclared);

  /// @brief Adds the retained state of another process.
  /// @return the configuration to activate
  ConfigurationPtr merge(base::Time aNow, const RetainedState& aRetainedState);

  /// @brief Drops routes whose lifetime has ended, and ends the draining of zones.
  /// @return the configuration to activate; nullptr if nothing changed
  ConfigurationPtr expire(base::Time aNow);

  /// @brief Retained routes with their ages at aNow.
  RetainedState retainedState(base::Time aNow) const;

  /// @brief True if no removed route that may still own flows is missing: this process has run for
  /// the lifetime of a flow, has started before all upstreams, or has merged the state of a process
  /// whose state is complete.
  bool isComplete() const { return mIsComplete; }

private:
  /// A retained route and the time of its removal from the documents.
  template<class T>
  struct Retained
  {
    T mEntry;
    base::Time mRemovedAt;
  };

  void applyServices(base::Time aNow, const Configuration& aNext);
  void applyZones(base::Time aNow, const Configuration& aNext);
  void applyAddresses(base::Time aNow, const Configuration& aNext);

  /// Retains the upstreams of aBefore that aAfter does not list; aAfter is nullptr if the service
  /// was deleted.
  void retainUnlisted(base::Time aNow, const Service& aBefore, const Service* aAfter);

  /// Drops removed upstreams that aService lists again or whose endpoints aService uses.
  void dropListed(const Service& aService);

  /// Drops removed shares that aNext lists again and shares of addresses that aNext lacks.
  void dropRestoredShares(const Configuration& aNext);

  /// True until a configuration was applied.
  bool isFirstConfiguration() const { return mDeclared->mRevision == 0; }

  /// True if there is an upstream and no upstream started before this process.
  bool predatesAllUpstreams(const Configuration& aDeclared) const;

  void retain(base::Time aRemovedAt, RemovedUpstream aRemoved);
  void retain(base::Time aRemovedAt, RemovedShare aRemoved);

  /// Adds the retained routes and the states of zones to the declared configuration.
  ConfigurationPtr buildActive() const;

  base::Duration mLifetime;
  base::Duration mZoneDrainTime;
  std::uint64_t mStartedAtMs;
  bool mRetainsLeaving;
  std::optional<base::Time> mFirstApplied;
  bool mIsComplete = false;
  ConfigurationPtr mDeclared = std::make_shared<const Configuration>();
  std::vector<Retained<RemovedUpstream>> mUpstreams;
  std::vector<Retained<RemovedShare>> mShares;
  std::map<std::string, base::Time> mDrainingZones; ///< end of the draining by zone
};

} // namespace cornelcross::config
