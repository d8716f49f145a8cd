#pragma once

#include "platform/store/fleet_event.hpp"
#include "platform/store/store_process.hpp"
#include "unit/support/fingerprint.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cornelcross::test {

/// @brief Processes that read the store and pull from each other, operators and backends that write
/// to it, and a checker of what the processes may have in force. Time passes in steps of kStep.
///
/// After a restore the operators write their newest configuration and zones again and the backends
/// their records. The checker knows every version of the configuration, so that it finds an address
/// that is routed by an older version than this process has used before or than it may still use.
class StoreFleet
{
public:
  static constexpr base::Duration kStep = std::chrono::milliseconds(250);

  StoreFleet();

  /// @brief Applies the event and passes one step.
  void step(const FleetEvent& aEvent);

  /// @brief Rules that were broken, each with its time.
  const std::vector<std::string>& violations() const { return mViolations; }

  /// @brief Adds what each process has in force.
  void addTo(Fingerprint& aFingerprint) const;

private:
  using Steps = unsigned;

  /// Time for which all must have been calm before a bound counts.
  static constexpr Steps kContact = std::chrono::seconds(4) / kStep;

  /// Service of each address; an address without a route is missing.
  using Routes = std::map<std::string, std::string>;

  struct Process
  {
    std::unique_ptr<StoreProcess> mProcess; ///< empty while it is down
    Steps mStarted = 0;
    bool mIsConfirmed = false;
    Steps mDownUntil = 0;
    Steps mFrozenUntil = 0;
    Steps mCutFromStoreUntil = 0;
    Steps mCutFromPeersUntil = 0;
    Steps mLastFault = 0;
    std::optional<StoreContent> mLateContent; ///< of a response that arrives at mLateUntil
    Steps mLateUntil = 0;
    std::map<std::string, std::uint64_t> mLowestVersion; ///< that an address may be routed by
  };

  struct Backend
  {
    std::string mId;
    std::string mAddress;
    std::string mService;
    std::uint64_t mStartedAtMs = 0;
    Steps mRegistered = 0;         ///< step at which the store accepted its record first
    std::optional<Steps> mDrained; ///< step at which the store accepted that it drains
    bool mIsDrainCalm = false;     ///< the store was calm at mDrained
    bool mIsDraining = false;
    std::optional<Steps> mEnded;
    Steps mLastHeartbeat = 0;
  };

  struct ZoneOut
  {
    bool mIsOut = false;
    bool mIsWritten = true;
    Steps mWritten = 0;
  };

  void apply(const FleetEvent& aEvent);
  void changeConfig(unsigned aRoutes);
  bool isAddressUsed(const std::string& aAddress) const;
  void addBackend(const std::string& aService, bool aMayReuseAddress);
  void kill(Process& aProcess, Steps aDuration);
  void restoreStore();
  void updateProcesses();
  void write();
  void writeBackend(Backend& aBackend);
  void read();
  void applyReadEvent(Process& aProcess);
  void finishLateRead(Process& aProcess);
  void pull();
  void check();
  bool isStoreCalm() const { return mStepCount >= mLastStoreFault + kContact; }
  Steps boundFrom(Steps aAcknowledged, bool aIsCalm) const;
  void checkRoutes(std::size_t aIndex);
  void checkZones(std::size_t aIndex);
  void checkBackends(std::size_t aIndex);
  bool isRunning(const Process& aProcess) const;
  bool reachesStore(const Process& aProcess) const;
  bool isConfirmed(Process& aProcess) const;
  bool isInTouch(const Process& aProcess) const;
  void report(std::size_t aIndex, const std::string& aText);

  base::Time mNow{ std::chrono::seconds(100) };
  Steps mStepCount = 0;
  StoreContent mStore;
  std::vector<StoreContent> mCopies; ///< content after each step
  Steps mStoreDownUntil = 0;
  std::optional<std::size_t> mPendingCopy; ///< from which the store returns
  Steps mLastStoreFault = 0;
  std::vector<Process> mProcesses;
  std::vector<Backend> mBackends;
  std::map<std::string, ZoneOut> mZones;
  std::vector<Routes> mVersions;      ///< routes of each version, by version
  std::vector<Steps> mVersionWritten; ///< step at which the store accepted each version first
  bool mIsConfigWritten = false;
  std::optional<FleetEvent> mReadEvent;
  std::vector<std::string> mViolations;
};

} // namespace cornelcross::test
