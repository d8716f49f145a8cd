#include "process/support/deployment.hpp"
#include "process/support/process_stacks.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <random>
#include <thread>

#include "net/udp_socket.hpp"
#include "unit/support/packets.hpp"

using namespace cornelcross;
using test::Deployment;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNetworkOctet = 6;
constexpr unsigned kRounds = 4; // a round takes up to ten seconds
constexpr std::uint64_t kSeed = 1;
constexpr int kDrainSeconds = 60;
constexpr int kSmallPipeBytes = 4096;
constexpr std::size_t kDatagramsPerFlood = 4000;
constexpr std::size_t kPendingRequests = 20;

/// PAUSE_ROUNDS, PAUSE_SEED and PAUSE_NETWORK replace these for longer runs, several at a time.
std::uint64_t fromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? aDefault : std::strtoull(value, nullptr, 10);
}

/// What happens around one pause. Each statement draws one number.
struct PausePlan
{
  explicit PausePlan(std::mt19937_64& aRandom)
  {
    mPause = milliseconds(200 + aRandom() % 9000);
    mBefore = milliseconds(aRandom() % 1500);
    mIsServicePaused = aRandom() % 3 == 0;
    mServiceEndsLater = milliseconds(aRandom() % 3000);
    mHasSmallPipe = aRandom() % 2 == 0;
    mFloods = aRandom() % 4 != 0;
    mHasPendingRequests = aRandom() % 2 == 0;
    mPauseCount = 1 + static_cast<unsigned>(aRandom() % 3);
    mIsTerminatedWhilePaused = aRandom() % 4 == 0;
  }

  milliseconds mPause;
  milliseconds mBefore;
  bool mIsServicePaused;
  milliseconds mServiceEndsLater; ///< the service goes on that long after the process
  bool mHasSmallPipe;             ///< the log fills up
  bool mFloods;                   ///< datagrams fill the sockets
  bool mHasPendingRequests;       ///< requests of the admin page wait
  unsigned mPauseCount;           ///< short pauses before the long one, minus one
  bool mIsTerminatedWhilePaused;
};

std::vector<GSocketConnection*> requestPages(const std::string& aAdmin)
{
  std::vector<GSocketConnection*> connections;
  GSocketClient* client = g_socket_client_new();
  for (std::size_t i = 0; i < kPendingRequests; ++i) {
    GSocketConnection* connection =
      g_socket_client_connect_to_host(client, aAdmin.c_str(), 0, nullptr, nullptr);
    if (connection != nullptr) {
      const std::string whole = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
      const std::string request = whole.substr(0, i % 2 == 0 ? whole.size() : whole.size() / 2);
      g_output_stream_write_all(g_io_stream_get_output_stream(G_IO_STREAM(connection)),
                                request.data(),
                                request.size(),
                                nullptr,
                                nullptr,
                                nullptr);
      connections.push_back(connection);
    }
  }
  g_object_unref(client);
  return connections;
}

void flood(net::UdpSocket& aFabric, const Deployment& aDeployment, std::mt19937_64& aRandom)
{
  for (std::size_t i = 0; i < kDatagramsPerFlood; ++i) {
    const auto host = 2 + static_cast<int>(i % 2);
    const auto port = static_cast<std::uint16_t>(1024 + aRandom() % 60000);
    const bool isOpening = aRandom() % 2 == 0;
    aFabric.enqueue(flow::Endpoint::parse(aDeployment.endpoint(host, 7000)).value(),
                    test::makePacket({ { { 0x0a000001 }, port },
                                       flow::Endpoint::parse("198.51.100.1:80").value(),
                                       isOpening ? flow::kSyn : flow::kAck,
                                       0,
                                       0,
                                       isOpening ? 0U : 1000U }));
  }
  aFabric.flush();
}

/// The round as text, for a failure.
std::string describe(std::uint64_t aSeed, const PausePlan& aPlan)
{
  return "seed " + std::to_string(aSeed) + ", pause of " + std::to_string(aPlan.mPause.count()) +
         " ms, service paused " + std::to_string(aPlan.mIsServicePaused) + ", small pipe " +
         std::to_string(aPlan.mHasSmallPipe) + ", flood " + std::to_string(aPlan.mFloods) +
         ", pending requests " + std::to_string(aPlan.mHasPendingRequests);
}

void playRound(std::uint64_t aSeed, int aNetworkOctet)
{
  std::mt19937_64 random(aSeed);
  const PausePlan plan(random);
  Deployment deployment(aNetworkOctet, kDrainSeconds, true);
  const std::vector<test::Child*> programs{ &deployment.balancer(), &deployment.agent() };
  const auto signalAll = [&](int aSignal) {
    for (test::Child* program : programs) {
      program->signal(aSignal);
    }
  };
  if (plan.mHasSmallPipe) {
    for (test::Child* program : programs) {
      fcntl(program->outputDescriptor(), F_SETPIPE_SZ, kSmallPipeBytes);
    }
  }
  net::UdpSocket fabric(flow::Endpoint::parse(deployment.endpoint(4, 7000)).value());
  std::this_thread::sleep_for(plan.mBefore);
  for (unsigned i = 1; i < plan.mPauseCount; ++i) {
    signalAll(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(random() % 50));
    signalAll(SIGCONT);
  }
  std::vector<GSocketConnection*> pending;
  if (plan.mHasPendingRequests) {
    pending = requestPages(deployment.balancerAdmin());
  }
  if (plan.mIsServicePaused) {
    deployment.configService().signal(SIGSTOP);
  }
  signalAll(SIGSTOP);
  if (plan.mFloods) {
    flood(fabric, deployment, random);
  }
  std::this_thread::sleep_for(plan.mPause);
  if (plan.mIsTerminatedWhilePaused) {
    signalAll(SIGTERM);
  }
  signalAll(SIGCONT);
  if (plan.mIsServicePaused) {
    std::this_thread::sleep_for(plan.mServiceEndsLater);
    deployment.configService().signal(SIGCONT);
  }
  const std::string stopping = "503 stopping\n";
  if (!plan.mIsTerminatedWhilePaused) {
    const std::string page = test::httpGetUntil(deployment.balancerAdmin(), "/healthz", "200 ok\n");
    BOOST_CHECK_MESSAGE(!page.empty(),
                        "no page of the balancer, " << describe(aSeed, plan) << '\n'
                                                    << test::stacksOf(deployment.balancer().pid()));
    signalAll(SIGTERM);
  }
  const std::string page = test::httpGetUntil(deployment.balancerAdmin(), "/healthz", stopping);
  BOOST_CHECK_MESSAGE(page == stopping,
                      "the balancer does not stop, page \""
                        << page << "\", " << describe(aSeed, plan) << '\n'
                        << test::stacksOf(deployment.balancer().pid()));
  signalAll(SIGTERM);
  for (test::Child* program : programs) {
    const bool hasEnded = program->hasEndedWithin(seconds(2));
    BOOST_CHECK_MESSAGE(hasEnded,
                        "no end after SIGTERM, " << describe(aSeed, plan) << '\n'
                                                 << test::stacksOf(program->pid()));
  }
  for (GSocketConnection* connection : pending) {
    g_object_unref(connection);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(pauses)

// Guards against a process that does not run on after a pause: with full sockets, overdue timers, a
// request or a pull in progress and a log that nobody reads.
BOOST_AUTO_TEST_CASE(a_process_runs_on_after_a_pause_and_ends_at_a_second_sigterm)
{
  const std::uint64_t first = fromEnvironment("PAUSE_SEED", kSeed);
  const std::uint64_t rounds = fromEnvironment("PAUSE_ROUNDS", kRounds);
  const auto network = static_cast<int>(fromEnvironment("PAUSE_NETWORK", kNetworkOctet));
  for (std::uint64_t seed = first; seed < first + rounds; ++seed) {
    playRound(seed, network);
  }
}

BOOST_AUTO_TEST_SUITE_END()
