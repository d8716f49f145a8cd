#include "history/checker.hpp"
#include "history/figures.hpp"
#include "scenarios/random/composer.hpp"
#include "scenarios/runner/runner.hpp"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <unistd.h>

DEFINE_string(programs, "build", "build folder that contains the programs");
DEFINE_string(logs,
              "",
              "folder for the logs; if empty, a temporary folder, which is removed after a pass");
DEFINE_bool(without_mechanism,
            false,
            "disable the mechanism that the script names; the run passes if it then violates "
            "the point that the script proves");
DEFINE_bool(rules, false, "print every rule of the scenario language and exit");
DEFINE_bool(syntax, false, "check the syntax of the script and exit");
DEFINE_uint64(seed, 1, "seed of packet loss, packet spraying and load");
DEFINE_bool(random, false, "compose a script from the seed, print the script and run it");
DEFINE_uint32(limit_seconds, 150, "seconds after which a run is aborted as failed");

namespace {

using namespace cornelcross;

constexpr int kExitUsage = 2;

std::filesystem::path createLogFolder()
{
  if (!FLAGS_logs.empty()) {
    std::filesystem::create_directories(FLAGS_logs);
    return FLAGS_logs;
  }
  std::string name = (std::filesystem::temp_directory_path() / "scenario-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a folder for the logs");
  }
  return name;
}

std::string readFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw std::runtime_error("cannot read " + aPath);
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Checks the records of a run; prints the figures and the first violations.
std::vector<history::Violation> checkHistory(const std::filesystem::path& aLogs)
{
  const auto records = history::History::load(aLogs);
  auto found = history::check(records);
  for (const auto& figure : history::figures(records)) {
    std::cout << "figure point=" << history::toString(figure.mPoint) << " worst=" << figure.mWorst
              << " bound=" << figure.mBound << " unit=" << figure.mUnit << '\n';
  }
  constexpr std::size_t kPrinted = 10;
  for (std::size_t i = 0; i < found.size() && i < kPrinted; ++i) {
    std::cout << "violation point=" << history::toString(found[i].mPoint) << " text=\""
              << found[i].mText << "\"\n";
  }
  return found;
}

bool isPointViolated(const std::vector<history::Violation>& aFound, const std::string& aPoint)
{
  for (const auto& violation : aFound) {
    if (history::toString(violation.mPoint) == aPoint) {
      return true;
    }
  }
  return false;
}

int runScript(const std::string& aPath, const std::string& aText)
{
  const std::filesystem::path logs = createLogFolder();
  scenarios::RunSettings settings{
    std::filesystem::absolute(FLAGS_programs), logs, "", FLAGS_seed
  };
  auto script = scenarios::parseScript(aText, scenarios::Runner(settings).rules());
  if (const auto* errors = std::get_if<std::vector<scenarios::SyntaxError>>(&script)) {
    for (const auto& error : *errors) {
      std::cerr << aPath << ": " << error.toString() << '\n';
    }
    return kExitUsage;
  }
  if (FLAGS_syntax) {
    return 0;
  }
  const auto& steps = std::get<std::vector<scenarios::Step>>(script);
  if (FLAGS_without_mechanism) {
    settings.mDisabledMechanism = scenarios::Runner::disabledMechanismOf(steps);
  }
  std::cout << "scenario=" << aPath << " seed=" << FLAGS_seed << " without=\""
            << settings.mDisabledMechanism << "\" logs=" << logs << std::endl;
  std::string failure;
  {
    scenarios::Runner runner(settings);
    failure = runner.run(steps, runner.rules());
  }
  const auto found = checkHistory(logs);
  const std::string point = scenarios::Runner::provenPointOf(steps);
  const bool hasPassed =
    FLAGS_without_mechanism ? isPointViolated(found, point) : failure.empty() && found.empty();
  std::cout << "result=" << (hasPassed ? "pass" : "fail") << " violations=" << found.size()
            << " failure=\"" << failure << "\"\n";
  if (hasPassed && FLAGS_logs.empty()) {
    std::filesystem::remove_all(logs);
  }
  return hasPassed ? 0 : 1;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  gflags::SetUsageMessage("run-scenario [FLAGS] SCRIPT");
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  // SIGALRM terminates a run that hangs. The child processes terminate with the runner.
  alarm(FLAGS_limit_seconds);
  try {
    if (FLAGS_rules) {
      for (const auto& rule : scenarios::Runner({ {}, createLogFolder(), "", 1 }).rules()) {
        std::cout << rule.mPattern << '\n';
      }
      return 0;
    }
    if (FLAGS_random) {
      const std::string text = scenarios::composeScript(FLAGS_seed);
      std::cout << text;
      return runScript("random", text);
    }
    if (aArgc != 2) {
      std::cerr << "usage: run-scenario [FLAGS] SCRIPT\n";
      return kExitUsage;
    }
    return runScript(aArgv[1], readFile(aArgv[1]));
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << '\n';
    return 1;
  }
}
