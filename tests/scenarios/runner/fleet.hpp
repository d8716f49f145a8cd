#pragma once

#include "scenarios/runner/address_range.hpp"
#include "scenarios/runner/child.hpp"
#include "scenarios/runner/deployment.hpp"
#include "scenarios/runner/run_log.hpp"

#include <functional>
#include <memory>

namespace cornelcross::scenarios {

/// @brief Settings of a run.
struct RunSettings
{
  std::filesystem::path mPrograms; ///< folder with the product's programs and tests/
  std::filesystem::path mLogs;     ///< folder for the logs
  std::string mFault;              ///< mechanism that is left out; empty for none
  std::uint64_t mSeed = 1;
};

/// @brief A process of the product or an upstream, which the scenario names.
struct Member
{
  std::string mRole; ///< "balancer", "agent" or "upstream"
  std::string mZone;
  std::string mService;      ///< name of the service; empty for a balancer
  unsigned mHost = 0;        ///< number of its address in the range
  std::uint16_t mReader = 0; ///< its port at the configuration service
  std::unique_ptr<Child> mChild;
};

/// @brief Starts, stops and reaches the processes of one run.
class Fleet
{
public:
  Fleet(RunSettings aSettings, RunLog& aLog);

  /// @brief What operators have declared.
  Deployment& deployment() { return mDeployment; }

  void addBalancers(unsigned aCount);
  void addService(const ServiceSpec& aService, unsigned aUpstreams);

  /// @brief Starts every process and waits until each has a configuration.
  void startAll();

  /// @brief Starts one process.
  void start(const std::string& aName, bool aIsCold = false);

  /// @brief Waits until a balancer or agent answers /healthz. @throws std::runtime_error
  void waitUntilHealthy(const std::string& aName);

  /// @brief SIGTERM; waits for the end. @throws std::runtime_error if it doesn't end
  void stop(const std::string& aName);

  /// @brief SIGKILL.
  void kill(const std::string& aName);

  /// @brief SIGSTOP or SIGCONT.
  void freeze(const std::string& aName);
  void thaw(const std::string& aName);

  /// @brief Ends every process.
  void endAll();

  /// @brief Publishes a document. @return its revision @throws std::runtime_error
  std::uint64_t publish(const std::string& aKey, const std::string& aText);

  /// @brief Sets the mode of the configuration service.
  void configMode(const std::string& aMode);

  /// @brief Sends a control line to the fabric.
  void controlFabric(const std::string& aLine);

  /// @brief Sprays over the balancers that run, but for the one named aExcept.
  void sprayOverRunning(const std::string& aExcept = "");

  /// @brief Starts a caller process.
  void load(const std::string& aService,
            const std::string& aKind,
            unsigned aRate,
            unsigned aSeconds,
            bool aSynData);

  /// @brief Waits for the end of every caller. @return false if one still runs after aLimit
  bool waitForCallers(std::chrono::milliseconds aLimit);

  /// @brief Addresses of the processes that a target names: a process, "zone:NAME", "balancers",
  /// "agents", "callers" or "fabric". @throws std::invalid_argument
  std::vector<std::string> addressesOf(const std::string& aTarget) const;

  /// @brief The process with this name. @throws std::invalid_argument
  Member& member(const std::string& aName);

  /// @brief Names of the processes that run, by role.
  std::vector<std::string> running(const std::string& aRole) const;

  /// @brief Field of a process's /status as text; empty if it doesn't answer.
  std::string status(const std::string& aName, const std::string& aField);

  /// @brief Calls aCondition until it holds. @throws std::runtime_error after aLimit
  static void waitUntil(const std::string& aWhat,
                        std::chrono::milliseconds aLimit,
                        const std::function<bool()>& aCondition);

private:
  void addMember(const std::string& aName, Member aMember);
  void startPlatform();
  std::vector<std::string> commandOf(const std::string& aName, const Member& aMember, bool aIsCold);
  std::filesystem::path program(const std::string& aName) const;
  void stopSpraying(const std::string& aName);
  void noteRun(const std::string& aName, const std::string& aState);

  RunSettings mSettings;
  RunLog& mLog;
  AddressRange mRange;
  Deployment mDeployment;
  std::map<std::string, Member> mMembers;
  std::unique_ptr<Child> mConfig;
  std::unique_ptr<Child> mFabric;
  std::vector<std::unique_ptr<Child>> mCallers;
  unsigned mBalancers = 0;
  unsigned mUpstreams = 0;
};

} // namespace cornelcross::scenarios
