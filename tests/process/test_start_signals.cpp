#include "process/support/child.hpp"

#include <array>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <thread>
#include <unistd.h>

using namespace cornelcross;

namespace {

using std::chrono::milliseconds;

constexpr unsigned kStarts = 100;
constexpr unsigned kStartsAtOnce = 10; // on addresses of their own
constexpr std::uint64_t kSeed = 1;
constexpr unsigned kMaxDelayMs = 20;
constexpr milliseconds kPollInterval{ 1 };
constexpr milliseconds kRepeatInterval{ 50 };
constexpr milliseconds kMaxWait{ 20000 };

std::string addressOf(unsigned aHost)
{
  return "127.31.9." + std::to_string(aHost);
}

std::string inQuotes(const std::string& aText)
{
  return '"' + aText + '"';
}

/// Settings file of a role on the platform, whose store does not answer.
class SettingsFile
{
public:
  explicit SettingsFile(unsigned aHost)
    : mPath("cornelcross-test-" + std::to_string(getpid()) + "-" + std::to_string(aHost) + ".json")
  {
    const auto at = [aHost](int aPort) {
      return inQuotes(addressOf(aHost) + ":" + std::to_string(aPort));
    };
    std::ofstream(mPath) << R"({"nodeName": "n", "zone": "a", "zones": {"a": "r"}, "service": "s",)"
                         << R"("bindAddrs": {"datagramAddr": )" << at(8172) << R"(, "readiness": )"
                         << at(8167) << R"(, "control": )" << at(8166) << R"(, "outbound": )"
                         << at(8162) << R"(}, "app": )" << at(8165)
                         << R"(, "internalPorts": [7720, 7735], "seeds": [], "heartbeatMs": 770,)"
                         << R"("platform": {"address": )" << inQuotes(addressOf(250) + ":8169")
                         << R"(}, "bounds": {"maxFlowS": 60, "graceS": 6, "reuseAfterS": 2}})";
  }
  ~SettingsFile() { std::filesystem::remove(mPath); }
  SettingsFile(const SettingsFile&) = delete;
  SettingsFile& operator=(const SettingsFile&) = delete;

  const std::string& path() const { return mPath; }

private:
  std::string mPath;
};

/// One start of a program, which gets a signal while it starts.
class Start
{
public:
  Start(const std::string& aProgram, unsigned aHost) : mSettings(aHost)
  {
    const auto at = [aHost](int aPort) { return addressOf(aHost) + ":" + std::to_string(aPort); };
    const std::string role = aProgram == "platform-agent" ? "agent" : "balancer";
    const bool isOnPlatform = aProgram.starts_with("platform-");
    std::vector<std::string> flags{ role };
    if (!isOnPlatform) {
      flags = { "--listen=" + at(7000),
                "--admin=" + at(9000),
                "--config_service=" + addressOf(250) + ":8000" };
    }
    if (aProgram == "cornelcross-agent") {
      flags.push_back("--fabric=" + addressOf(251) + ":7000");
    }
    mChild = std::make_unique<test::Child>(
      isOnPlatform ? "cornelcross-platform" : aProgram,
      flags,
      std::vector<std::string>{ "CORNELCROSS_BOOT=" + mSettings.path() });
  }

  /// Waits until the program blocks or handles SIGTERM. True if it blocks all three signals then.
  bool blocksSignals()
  {
    for (milliseconds waited{ 0 }; waited < kMaxWait; waited += kPollInterval) {
      if (isInMask("SigBlk:", SIGTERM) || isInMask("SigCgt:", SIGTERM) || hasEnded()) {
        break;
      }
      std::this_thread::sleep_for(kPollInterval);
    }
    return isInMask("SigBlk:", SIGTERM) && isInMask("SigBlk:", SIGINT) &&
           isInMask("SigBlk:", SIGHUP);
  }

  void signal(int aSignal) { mChild->signal(aSignal); }
  bool hasEnded() { return mChild->hasEndedWithin(milliseconds(0)); }

  /// Repeats SIGTERM, of which the second one ends the program at once. Returns the exit code.
  int terminate()
  {
    for (milliseconds waited{ 0 }; waited < kMaxWait; waited += kRepeatInterval) {
      mChild->signal(SIGTERM);
      if (mChild->hasEndedWithin(kRepeatInterval)) {
        break;
      }
    }
    return mChild->exitCode();
  }

private:
  bool isInMask(const std::string& aMask, int aSignal) const
  {
    std::ifstream status("/proc/" + mChild->pid() + "/status");
    for (std::string name, value; status >> name;) {
      if (name == aMask && status >> value) {
        return ((std::stoull(value, nullptr, 16) >> (aSignal - 1)) & 1U) != 0;
      }
    }
    return false;
  }

  SettingsFile mSettings;
  std::unique_ptr<test::Child> mChild;
};

/// Starts a program again and again and sends it a signal at a random time of its start.
void signalWhileStarting(const std::string& aProgram, int aSignal)
{
  std::mt19937_64 random(kSeed);
  unsigned heldSignals = 0;
  for (unsigned first = 0; first < kStarts; first += kStartsAtOnce) {
    std::vector<std::unique_ptr<Start>> starts;
    for (unsigned i = 0; i < kStartsAtOnce; ++i) {
      starts.push_back(std::make_unique<Start>(aProgram, 1 + i));
      heldSignals += starts.back()->blocksSignals() ? 1U : 0U;
      std::this_thread::sleep_for(milliseconds(random() % (kMaxDelayMs + 1)));
      starts.back()->signal(aSignal);
    }
    std::this_thread::sleep_for(kRepeatInterval);
    for (const auto& start : starts) {
      BOOST_TEST((aSignal != SIGHUP || !start->hasEnded()), aProgram << " ended");
      start->signal(SIGTERM);
    }
    for (const auto& start : starts) {
      BOOST_TEST(start->terminate() == 0, aProgram << " did not end in order");
    }
  }
  BOOST_TEST(heldSignals > 0U, aProgram << " never blocks signals");
}

constexpr std::array<const char*, 4> kPrograms{ "cornelcross-balancer",
                                                "cornelcross-agent",
                                                "platform-balancer",
                                                "platform-agent" };

} // namespace

BOOST_AUTO_TEST_SUITE(start_signals)

// Guards against a program that ends because its settings change while it starts.
BOOST_AUTO_TEST_CASE(a_hangup_during_the_start_does_not_end_a_program)
{
  for (const char* program : kPrograms) {
    signalWhileStarting(program, SIGHUP);
  }
}

// Guards against a stop during the start that looks like a crash.
BOOST_AUTO_TEST_CASE(a_program_that_is_stopped_during_its_start_ends_in_order)
{
  for (const char* program : kPrograms) {
    signalWhileStarting(program, SIGTERM);
  }
}

BOOST_AUTO_TEST_SUITE_END()
