#pragma once

#include "history/violation.hpp"
#include "scenarios/language/parser.hpp"
#include "scenarios/runner/fleet.hpp"

/// @brief Runs scripts of the test language over real processes and the fakes.
namespace cornelcross::scenarios {

/// @brief Thrown by a step whose expectation doesn't hold.
struct ExpectationFailed : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

/// @brief Binds each rule of the language to what it does.
class Runner
{
public:
  explicit Runner(const RunSettings& aSettings);

  /// @brief Every rule, in the order of the reference.
  std::vector<Rule> rules();

  /// @brief Runs the steps one after the other. @return the failure with its line; empty if none
  std::string run(const std::vector<Step>& aSteps, const std::vector<Rule>& aRules);

  /// @brief Mechanism without which the script must fail; empty if it names none.
  static std::string faultOf(const std::vector<Step>& aSteps);

  /// @brief Point that the script proves; empty if it names none.
  static std::string pointOf(const std::vector<Step>& aSteps);

private:
  void addDeploymentRules(std::vector<Rule>& aRules);
  void addProcessRules(std::vector<Rule>& aRules);
  void addLinkRules(std::vector<Rule>& aRules);
  void addConfigurationRules(std::vector<Rule>& aRules);
  void addLoadRules(std::vector<Rule>& aRules);

  void eachLink(const std::string& aFrom,
                const std::string& aTo,
                bool aIsBothWays,
                const std::string& aVerb,
                const std::string& aRest = "");
  void setState(const std::string& aUpstream, const std::string& aState);
  void noteState(const std::string& aUpstream);
  void publishService(const std::string& aService);
  void assign(const std::string& aUpstream, const std::string& aService);
  void race(const Arguments& aWords);
  void setZone(const std::string& aZone, bool aIsIn);
  void waitForConfiguration(std::chrono::milliseconds aLimit);
  void waitUntilDrained(const std::string& aUpstream, std::chrono::milliseconds aLimit);
  void waitForLoad();
  void expectCount(const std::string& aCounter,
                   const std::string& aComparison,
                   std::uint64_t aExpected) const;

  RunSettings mSettings;
  RunLog mLog;
  Fleet mFleet;
  std::vector<std::pair<std::string, std::string>> mCuts;
  std::uint64_t mRevision = 0;
};

} // namespace cornelcross::scenarios
