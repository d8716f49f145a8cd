#pragma once

#include "backend.hpp"
#include "clients.hpp"
#include "store.hpp"

#include <list>
#include <memory>
#include <sys/types.h>

namespace review {

/// @brief A machine that runs one role of the deploy file.
struct Machine
{
  std::string mName;
  std::string mRole;
  std::string mZone;
  std::uint32_t mAddress = 0;
  std::string mService; ///< of the backend beside it, on `side` machines
  pid_t mPid = 0;       ///< 0 while no process runs
  double mRestartAt = 0;
  bool mIsSignalled = false; ///< the script ended the process
  int mOwnEnds = 0;          ///< times that the process ended by itself
  int mLastStatus = 0;       ///< exit code of the last end by itself

  int mMisses = 2; ///< of the readiness check, on `frontend` machines
  int mCheck = -1; ///< connection of a readiness check in progress
  double mCheckedAt = 0;
};

/// @brief How the backend of a machine is registered.
struct Registration
{
  std::string mState = "ready";
  double mNextWrite = 0;
  std::uint64_t mSequence = 0;
};

/// @brief A small deployment on loopback addresses: the project's programs as processes, beside
/// stand-ins of the platform, its backends and its clients.
class Deployment
{
public:
  struct Request
  {
    double mSentAt = 0;
    const Route* mRoute = nullptr;
    FlowKey mFlow;
    int mRuns = 0;
    bool mIsAnswered = false;
  };

  Deployment(std::string aRepository, std::string aFolder, Record& aRecord);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// @brief Starts all machines and backends.
  void start();
  void startClients(double aFlowsPerSecond, std::vector<Route> aRoutes);
  void runUntil(double aTime);

  Store& store() { return *mStore; }
  Record& record() { return mRecord; }
  std::list<Machine>& machines() { return mMachines; }
  Machine& side(std::size_t aIndex) { return *mSides.at(aIndex); }
  std::size_t sideCount() const { return mSides.size(); }
  Backend* backendOf(const Machine& aMachine);
  static std::string otherService(const std::string& aService);

  /// @brief The backend of a machine reports `draining` to the store.
  /// @return when the store acknowledged the report
  double drain(Machine& aMachine);
  /// @brief The backend of a machine ends. If it falls silent, its connections stay as they are.
  void endBackend(Machine& aMachine, bool aFallsSilent);
  void startBackend(Machine& aMachine);
  /// @brief Replaces members of the settings of a machine; aService is empty for a balancer.
  void changeService(Machine& aMachine, const std::string& aService);
  /// @brief Value of `graceS` in the settings of all machines, as JSON.
  void changeGrace(const std::string& aGrace);
  static void signal(Machine& aMachine, int aSignal);

  /// @brief Opens a case's check of each opening packet that a backend takes.
  using OpeningCheck =
    std::function<void(const BackendStart&, const FlowKey&, double aClientSentAt)>;
  void onOpening(OpeningCheck aCheck) { mOpeningCheck = std::move(aCheck); }

  void violation(const std::string& aText);
  const std::vector<std::string>& violations() const { return mViolations; }
  const std::map<std::string, Request>& requests() const { return mRequests; }
  std::size_t resetsOfOpenFlows() const { return mResetsOfOpenFlows; }
  double servedShare(double aFrom, double aTo) const;

  static constexpr double kHeartbeat = 1.2;
  static constexpr double kLifetime = 3 * kHeartbeat;

private:
  std::uint32_t address(unsigned aZone, unsigned aHost) const;
  void addMachine(const std::string& aRole, unsigned aZone, unsigned aHost, std::string aService);
  void writeSettings(const Machine& aMachine) const;
  void spawn(Machine& aMachine);
  void watchProcesses();
  void checkReadiness();
  void writeConfiguration();
  void writeRegistrations();
  void poll();
  std::optional<std::uint32_t> routeOf(const std::string& aZone, const FlowKey& aKey) const;
  void onRun(const BackendStart& aStart, const Packet& aPacket, const std::string& aRequestId);
  void onAnswer(const std::string& aId, const std::string& aResponse);

  std::string mRepository;
  std::string mFolder;
  Record& mRecord;
  unsigned mNetwork = 0;
  std::unique_ptr<Store> mStore;
  std::list<Machine> mMachines;
  std::vector<Machine*> mSides;
  std::map<const Machine*, std::unique_ptr<Backend>> mBackends;
  std::map<std::string, Registration> mRegistrations; ///< by the id of the backend
  std::vector<std::unique_ptr<Clients>> mClients;
  std::vector<Route> mRoutes;
  std::set<int> mSilentConnections;
  std::string mGrace = "6";
  std::map<std::string, Request> mRequests;
  std::vector<std::string> mViolations;
  OpeningCheck mOpeningCheck;
  unsigned mBackendCount = 0;
  std::size_t mResetsOfOpenFlows = 0;
  double mNextReadiness = 0;
};

/// Addresses of the routes. No packet goes to them: they stand in the headers of flows.
inline constexpr std::uint32_t kFirstHost = (127U << 24U) | (18U << 16U) | 1U;
inline constexpr std::uint32_t kSecondHost = kFirstHost + 1;

inline constexpr const char* kSessions = "huvo11a"; ///< service with long flows
inline constexpr const char* kSheets = "wuno96b";   ///< service with a flow for each request

} // namespace review
