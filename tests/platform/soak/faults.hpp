#pragma once

#include "platform/soak/fleet.hpp"

namespace cornelcross::soak {

/// @brief Injects random faults into a fleet, in series that overlap.
class Faults
{
public:
  /// @param aKinds names of the kinds to inject; if empty, all that are not selected by name only
  Faults(Fleet& aFleet, std::uint64_t aSeed, const std::set<std::string>& aKinds);

  /// @brief Injects faults from now on until stop().
  void start();

  /// @brief Injects no further fault; those in progress go on.
  void stop() { mIsStopped = true; }

  /// @brief Number of faults of each kind.
  const std::map<std::string, unsigned>& counts() const { return mCounts; }

private:
  struct Kind
  {
    std::string mName;
    std::function<void()> mInject;
    bool mIsByNameOnly = false; ///< the seeds of runs with all kinds stay what they were
  };

  void injectNext();
  std::uint64_t below(std::uint64_t aBound) { return mRandom() % aBound; }
  base::Duration upTo(base::Duration aLimit);
  Vm* pickUpstreamVm();
  Vm* pickProgram();
  void after(base::Duration aDelay, std::function<void()> aCallback);

  void replaceVm(base::Duration aStopDelay);
  void placeNextVm(Vm& aFormer);
  void startNextUpstream(Vm& aVm);
  void replaceUpstreamInPlace();
  void replaceSilentUpstreamInPlace();
  void restartAgentBeforeReuse();
  void pauseAgentBeforeReuse();
  void restartUpstream();
  void killProgram();
  void terminateProgram();
  void freezeProgram();
  void stopStore();

  Fleet& mFleet;
  std::mt19937_64 mRandom;
  std::vector<Kind> mKinds;
  std::set<const Vm*> mBusy; ///< VMs whose upstream is being replaced or restarted
  std::map<std::string, unsigned> mCounts;
  bool mIsStopped = false;
};

} // namespace cornelcross::soak
