#pragma once

#include "net/http_client.hpp"
#include "net/main_loop.hpp"
#include "platform/soak/callers.hpp"
#include "platform/soak/vm.hpp"
#include "platform/store/store_server.hpp"

namespace cornelcross::soak {

/// @brief Settings of a run.
struct FleetSettings
{
  std::uint64_t mSeed = 1;
  std::filesystem::path mPrograms; ///< build folder
  std::filesystem::path mLogs;
  unsigned mNetwork = 0; ///< second octet of the loopback addresses
  unsigned mZones = 2;
  unsigned mBalancersPerZone = 2;
  unsigned mUpstreamsPerZone = 4;
  double mFlowsPerSecond = 20.0; ///< of the callers of a zone

  auto operator<=>(const FleetSettings&) const = default;
};

/// @brief The platform around the programs: VMs, the store with the records of the upstreams and
/// the configuration, the fabric, and callers.
class Fleet
{
public:
  Fleet(FleetSettings aSettings, net::MainLoop& aLoop, Observations& aObservations);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// @brief Starts all VMs. Callers start with startCallers().
  void start();
  void startCallers();

  /// @brief VMs that are on and have the role.
  std::vector<Vm*> vms(bool aAreBalancers) const;

  /// @brief Adds a VM with an upstream's agent at an address of a zone; it is off.
  Vm& addUpstreamVm(const std::string& aZone,
                    flow::Ipv4Address aAddress,
                    const std::string& aService);

  /// @brief Starts an upstream on a VM. It writes its record shortly afterwards.
  /// @param aId id of an earlier start, or empty for a new id
  void startUpstream(Vm& aVm, const std::string& aId = "");

  /// @brief Ends the upstream of a VM.
  /// @param aIsPlanned true if its record is removed, false if it expires
  void endUpstream(Vm& aVm, bool aIsPlanned);

  /// @brief Ends the upstream of a VM without closing its open connections. Its record expires.
  void silenceUpstream(Vm& aVm);

  /// @brief Marks the upstream of a VM as leaving.
  void drainUpstream(Vm& aVm);

  /// @brief Stops or starts the store. Records may expire while it is down.
  void setStoreDown(bool aIsDown, bool aDoRecordsExpire = false);

  /// @brief Writes the next version of the configuration; it differs in its timeouts and in routes
  /// without traffic.
  void changeConfiguration();

  /// @brief Service other than aService.
  static std::string otherService(const std::string& aService);

  net::MainLoop& loop() { return mLoop; }
  std::size_t resets() const;

private:
  struct Record
  {
    UpstreamStart mStart;
    std::string mZone;
    std::string mState = "ready";
    std::uint64_t mSequence = 0;
    base::Time mNextWrite;
    base::Time mLastWrite;
    bool mIsAlive = true;
    bool mIsStored = false;
  };

  struct Rotation
  {
    net::HttpClient mClient;
    int mMisses = 2;
  };

  flow::Ipv4Address addressOf(unsigned aZone, unsigned aHost) const;
  nlohmann::json settingsOf(const std::string& aName,
                            flow::Ipv4Address aAddress,
                            const std::string& aZone) const;
  Vm& addVm(const std::string& aName,
            flow::Ipv4Address aAddress,
            const std::string& aRole,
            nlohmann::json aSettings);
  void onTick(base::Time aNow);
  bool sharesAddress(const Vm& aVm) const;
  void updateRecords(base::Time aNow);
  void writeRecord(base::Time aNow, const std::string& aId, Record& aRecord);
  void checkReadiness();
  std::optional<flow::Endpoint> routeOf(const std::string& aZone, const flow::FlowKey& aFlow) const;

  FleetSettings mSettings;
  net::MainLoop& mLoop;
  Observations& mObservations;
  std::mt19937_64 mRandom;
  std::unique_ptr<test::StoreServer> mStore;
  test::StoreContent mContentWhileDown;
  bool mDoRecordsExpire = true;
  std::vector<std::unique_ptr<Vm>> mVms; ///< VMs that are gone included
  std::map<const Vm*, Rotation> mRotations;
  std::map<std::string, unsigned> mUpstreamVmCounts;  ///< by zone
  std::map<std::string, Record> mRecords;             ///< by id
  std::vector<GSocketConnection*> mSilentConnections; ///< of upstreams that ended silently
  std::vector<std::unique_ptr<Callers>> mCallers;
  std::uint64_t mVersion = 0;
};

} // namespace cornelcross::soak
