#pragma once

#include "history/violation.hpp"
#include "scenarios/language/parser.hpp"
#include "scenarios/runner/fleet.hpp"

/// @brief Runs scenario scripts with the real programs and the fakes.
namespace cornelcross::scenarios {

/// @brief Thrown by a step whose expectation does not hold.
struct ExpectationFailed : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

/// @brief Implements the rules of the scenario language and runs scripts.
class Runner
{
public:
  explicit Runner(const RunSettings& aSettings);

  /// @brief Returns every rule, in the order of the language reference.
  std::vector<Rule> rules();

  /// @brief Runs the steps in order until a step fails, then terminates every process.
  /// @return line, step and reason of the failure; empty if every step succeeds
  std::string run(const std::vector<Step>& aSteps, const std::vector<Rule>& aRules);

  /// @brief Returns the mechanism without which the script must fail; empty if the script has no
  /// "proves" step.
  static std::string disabledMechanismOf(const std::vector<Step>& aSteps);

  /// @brief Returns the name of the point that the script proves; empty if the script has no
  /// "proves" step.
  static std::string provenPointOf(const std::vector<Step>& aSteps);

private:
  void addDeploymentRules(std::vector<Rule>& aRules);
  void addProcessRules(std::vector<Rule>& aRules);
  void addLinkRules(std::vector<Rule>& aRules);
  void addConfigurationRules(std::vector<Rule>& aRules);
  void addLoadRules(std::vector<Rule>& aRules);

  void controlLinks(const std::string& aFrom,
                    const std::string& aTo,
                    bool aIsBothWays,
                    const std::string& aVerb,
                    const std::string& aRest = "");
  void setState(const std::string& aUpstream, const std::string& aState);
  void recordUpstreamState(const std::string& aUpstream);
  void publishService(const std::string& aService);
  void reassign(const std::string& aUpstream, const std::string& aService);
  void publishConcurrently(const Arguments& aArguments);
  void setZone(const std::string& aZone, bool aIsInService);
  void waitForConfiguration(std::chrono::milliseconds aTimeout);
  void waitUntilDrained(const std::string& aUpstream, std::chrono::milliseconds aTimeout);
  void waitForLoad();
  void expectCount(const std::string& aCounter,
                   const std::string& aComparison,
                   std::uint64_t aExpected) const;

  RunSettings mSettings;
  RunLog mLog;
  Fleet mFleet;
  std::vector<std::pair<std::string, std::string>> mCutLinks;
  std::uint64_t mLastRevision = 0;
};

} // namespace cornelcross::scenarios
