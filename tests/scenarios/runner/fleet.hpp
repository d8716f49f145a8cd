#pragma once

#include "scenarios/runner/deployment.hpp"
#include "scenarios/runner/platform.hpp"

namespace cornelcross::scenarios {

/// @brief A balancer, agent or upstream process of a scenario.
struct Member
{
  std::string mRole; ///< "balancer", "agent" or "upstream"
  std::string mZone;
  std::string mService;            ///< name of the service; empty for a balancer
  unsigned mHostNumber = 0;        ///< host number in the AddressRange of the run
  std::uint16_t mReaderNumber = 0; ///< number of its port at the configuration service
  std::unique_ptr<Child> mChild;
};

/// @brief The processes of one run.
class Fleet
{
public:
  Fleet(RunSettings aSettings, RunLog& aLog);

  /// @brief Returns the declared configuration.
  Deployment& deployment() { return mDeployment; }

  /// @brief Returns the fakes of the configuration service and the fabric.
  Platform& platform() { return mPlatform; }

  /// @brief Declares further balancers, assigned to zones round-robin.
  void addBalancers(unsigned aCount);

  /// @brief Declares a service with aUpstreams upstreams and their agents. The service gets the
  /// next free address.
  void addService(const ServiceSpec& aService, unsigned aUpstreams);

  /// @brief Starts every process and waits until each balancer and agent is healthy.
  void startAll();

  /// @brief Starts one process; aIsCold makes an upstream begin with a cold start.
  /// @throws std::runtime_error if the process already runs
  void start(const std::string& aName, bool aIsCold = false);

  /// @brief Waits until /healthz of a balancer or agent returns 200: the process has a
  /// configuration. @throws std::runtime_error
  void waitUntilHealthy(const std::string& aName);

  /// @brief Sends SIGTERM and waits until the process exits.
  /// @throws std::runtime_error if the process does not exit in time
  void stop(const std::string& aName);

  /// @brief Sends SIGKILL and waits until the process exits.
  void kill(const std::string& aName);

  /// @brief Suspends a process with SIGSTOP.
  void freeze(const std::string& aName);

  /// @brief Resumes a process with SIGCONT.
  void thaw(const std::string& aName);

  /// @brief Terminates every process of the run.
  void terminateAll();

  /// @brief Makes the fabric spray packets over the running balancers except aExcept.
  void sprayOverRunningBalancers(const std::string& aExcept = "");

  /// @brief Starts a caller process that opens aRate sessions of kind aKind per second for
  /// aSeconds. With aSynData, the SYN of each session also contains the first request.
  void startCaller(const std::string& aService,
                   const std::string& aKind,
                   unsigned aRate,
                   unsigned aSeconds,
                   bool aSynData);

  /// @brief Waits until every caller exits. @return false if a caller takes longer than aTimeout
  bool waitForCallers(std::chrono::milliseconds aTimeout);

  /// @brief Returns the addresses of a target: a process, "zone:NAME", "balancers", "agents" or
  /// "callers". @throws std::invalid_argument if the target matches no address
  std::vector<std::string> addressesOf(const std::string& aTarget) const;

  /// @brief Returns the process with this name. @throws std::invalid_argument for an unknown name
  Member& member(const std::string& aName);

  /// @brief Returns the names of the running processes with a role.
  std::vector<std::string> runningMembers(const std::string& aRole) const;

  /// @brief Returns a field of the /status page of a process as JSON text; empty if the request
  /// fails or the field is missing.
  std::string statusField(const std::string& aName, const std::string& aField);

private:
  void addMember(const std::string& aName, Member aMember);
  void declareMembers();
  void setZoneDelays();
  void publishDocuments();
  std::vector<std::string> commandLineOf(const std::string& aName,
                                         const Member& aMember,
                                         bool aIsCold);
  std::string seedPeers() const;
  void removeFromSpraying(const std::string& aName);
  void recordRunState(const std::string& aName, const std::string& aState);

  RunSettings mSettings;
  RunLog& mLog;
  AddressRange mRange;
  Platform mPlatform;
  Deployment mDeployment;
  std::map<std::string, Member> mMembers;
  std::vector<std::unique_ptr<Child>> mCallers;
  unsigned mBalancers = 0;
  unsigned mUpstreams = 0;
};

} // namespace cornelcross::scenarios
