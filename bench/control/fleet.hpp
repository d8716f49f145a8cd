#pragma once

#include "bench/control/child_process.hpp"
#include "flow/endpoint.hpp"

#include <cstdint>
#include <map>
#include <memory>

namespace cornelcross::bench {

/// @brief What a fleet is made of.
struct FleetSettings
{
  std::string mBuild;           ///< build folder with the programs
  std::string mFolder;          ///< folder for documents and logs
  std::uint32_t mBalancers = 1; ///< balancer processes
  std::uint32_t mAgents = 4;    ///< agent processes
  std::uint32_t mServices = 1;  ///< services in the configuration
  std::uint32_t mUpstreams = 4; ///< upstreams over all services, at least mAgents
  bool mAllRead = false;        ///< every process reads the configuration service

  auto operator<=>(const FleetSettings&) const = default;
};

/// @brief Totals over the balancers and agents since their start.
struct FleetTotals
{
  double mSentBytes = 0;     ///< control traffic sent
  double mReceivedBytes = 0; ///< control traffic received
  double mMessages = 0;      ///< control messages sent and received
  double mCalls = 0;         ///< calls to the configuration service
  double mCpuSeconds = 0;    ///< processor time

  FleetTotals operator-(const FleetTotals& aOther) const;
};

/// @brief The fake configuration service with real balancers and agents on loopback.
class Fleet
{
public:
  explicit Fleet(const FleetSettings& aSettings);

  /// @brief Waits until every process may forward. @return false after aSeconds
  bool waitUntilReady(double aSeconds) const;

  /// @brief Counters of every process.
  FleetTotals totals() const;

  /// @brief Changes one service. @return the revision
  std::uint64_t publishChange();

  /// @brief Time from each change until each process had it in force, in milliseconds, by
  /// revision; a process that never had it is left out.
  std::map<std::uint64_t, std::vector<double>> applyTimes() const;

  /// @brief Resident memory of a balancer and of an agent, in megabytes.
  double balancerMegabytes() const { return mProcesses.front().residentMegabytes(); }
  double agentMegabytes() const { return mProcesses.back().residentMegabytes(); }

  /// @brief Balancers and agents.
  std::size_t size() const { return mProcesses.size(); }

private:
  std::string serviceText(std::uint32_t aService, const std::string& aState) const;
  void writeDocuments() const;
  void startProcess(const std::string& aRole, std::uint32_t aNumber, flow::Endpoint aListen);

  FleetSettings mSettings;
  flow::Endpoint mService;
  std::unique_ptr<ChildProcess> mConfigService;
  std::vector<ChildProcess> mProcesses;
  std::vector<flow::Endpoint> mAdmins;
  std::map<std::uint64_t, std::uint64_t> mPublishedAt; ///< microseconds since the epoch
};

} // namespace cornelcross::bench
