#include "telemetry/event_log.hpp"
#include "telemetry/flow_sampler.hpp"
#include "telemetry/log_budget.hpp"

#include <array>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <unistd.h>

using namespace cornelcross;
using namespace cornelcross::telemetry;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kMaxLinesPerSecond = 100;

int admittedCount(LogBudget& aBudget, base::Time aNow, EventKind aKind, int aCount)
{
  int lines = 0;
  for (int i = 0; i < aCount; ++i) {
    lines += aBudget.admit(aNow, aKind) ? 1 : 0;
  }
  return lines;
}

/// Redirects standard output, for its own lifetime, to a pipe that no process reads.
class UnreadOutput
{
public:
  UnreadOutput()
  {
    BOOST_REQUIRE(pipe(mPipe.data()) == 0);
    dup2(mPipe[1], STDOUT_FILENO);
  }

  ~UnreadOutput()
  {
    dup2(mSavedStdout, STDOUT_FILENO);
    close(mSavedStdout);
    close(mPipe[0]);
    close(mPipe[1]);
  }

private:
  int mSavedStdout = dup(STDOUT_FILENO);
  std::array<int, 2> mPipe{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(log_budget)

BOOST_AUTO_TEST_CASE(limits_flow_openings_before_refusals_and_never_configuration_events)
{
  LogBudget budget(kMaxLinesPerSecond);
  const base::Time now{ 100s };
  BOOST_TEST(admittedCount(budget, now, EventKind::kFlowOpened, 1000) == 50);
  BOOST_TEST(admittedCount(budget, now, EventKind::kFlowRefused, 1000) == 50);
  BOOST_TEST(admittedCount(budget, now, EventKind::kConfigApplied, 1000) == 1000);
}

BOOST_AUTO_TEST_CASE(reports_the_number_of_suppressed_lines_once_per_second)
{
  LogBudget budget(kMaxLinesPerSecond);
  const base::Time now{ 100s };
  admittedCount(budget, now, EventKind::kFlowRefused, 130);
  BOOST_TEST(budget.takeSuppressedLines(now).value_or(0) == 30U);
  admittedCount(budget, now, EventKind::kFlowRefused, 5);
  BOOST_TEST(!budget.takeSuppressedLines(now + 500ms).has_value());
  BOOST_TEST(budget.takeSuppressedLines(now + 1s).value_or(0) == 5U);
  BOOST_TEST(!budget.takeSuppressedLines(now + 9s).has_value());
}

BOOST_AUTO_TEST_CASE(every_process_samples_the_same_flows)
{
  const FlowSampler sample(64);
  int sampledCount = 0;
  for (int port = 1; port <= 6400; ++port) {
    const std::string flow = "100.64.0.7:" + std::to_string(port) + ">198.18.0.1:443";
    const Event opened{ EventKind::kFlowOpened, { { "flow", flow } } };
    const Event closed{ EventKind::kFlowClosed, { { "flow", flow } } };
    BOOST_TEST(sample.isSampled(opened) == sample.isSampled(closed));
    sampledCount += sample.isSampled(flow) ? 1 : 0;
  }
  // The count has a binomial distribution with mean 100; the bounds are five standard deviations
  // away.
  BOOST_TEST(sampledCount > 50);
  BOOST_TEST(sampledCount < 150);
  BOOST_TEST(sample.isSampled(Event{ EventKind::kFlowRefused, { { "flow", "x" } } }));
  BOOST_TEST(!FlowSampler(0).isSampled("x"));
}

BOOST_AUTO_TEST_CASE(a_reader_that_stops_reading_does_not_block_the_writer)
{
  const EventLog log("test");
  const UnreadOutput output;
  const auto start = std::chrono::steady_clock::now();
  const Event event{ EventKind::kConfigApplied, { { "revision", std::string(200, '1') } } };
  for (int i = 0; i < 2000; ++i) { // several times the capacity of a pipe
    log.write(event);
  }
  BOOST_TEST((std::chrono::steady_clock::now() - start < 5s));
}

BOOST_AUTO_TEST_SUITE_END()
