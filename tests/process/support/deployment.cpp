#include "process/support/deployment.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <unistd.h>

namespace cornelcross::test {

namespace {

constexpr int kDataPort = 7000;
constexpr int kUpstreamPort = 7001;
constexpr int kHttpPort = 8000;
constexpr int kAdminPort = 9000;

void waitUntilReady(const std::string& aAdmin)
{
  BOOST_REQUIRE(httpGetUntil(aAdmin, "/healthz", "200 ok\n") == "200 ok\n");
}

} // namespace

Deployment::Deployment(int aNetworkOctet, int aDrainSeconds, bool aStartsAgent)
  : mNetworkOctet(aNetworkOctet)
  , mDocumentsFile("cornelcross-test-" + std::to_string(getpid()) + "-" +
                   std::to_string(aNetworkOctet) + ".json")
{
  writeDocuments();
  const std::string config = endpoint(1, kHttpPort);
  mConfigService = std::make_unique<Child>(
    "tests/fake-config-service",
    std::vector<std::string>{ "--listen=" + config, "--documents=" + mDocumentsFile });
  mBalancer = std::make_unique<Child>(
    "cornelcross-balancer",
    std::vector<std::string>{ "--listen=" + endpoint(2, kDataPort),
                              "--admin=" + endpoint(2, kAdminPort),
                              "--config_service=" + config,
                              "--drain_seconds=" + std::to_string(aDrainSeconds) });
  waitUntilReady(balancerAdmin());
  if (aStartsAgent) {
    mAgent = std::make_unique<Child>("cornelcross-agent",
                                     std::vector<std::string>{ "--listen=" + endpoint(3, kDataPort),
                                                               "--admin=" + endpoint(3, kAdminPort),
                                                               "--config_service=" + config,
                                                               "--fabric=" + endpoint(4, kDataPort),
                                                               "--log_flows" });
    waitUntilReady(agentAdmin());
  }
}

Deployment::~Deployment()
{
  std::remove(mDocumentsFile.c_str());
}

std::string Deployment::endpoint(int aHost, int aPort) const
{
  return "127.31." + std::to_string(mNetworkOctet) + "." + std::to_string(aHost) + ":" +
         std::to_string(aPort);
}

void Deployment::writeDocuments() const
{
  std::ofstream(mDocumentsFile) << R"({"service/s": {"address": "198.51.100.1:80", "upstreams": [
    {"name": "u", "zone": "a", "slots": 3, "state": "serving", "agent": ")"
                                << endpoint(3, kDataPort) << R"(", "address": ")"
                                << endpoint(3, kUpstreamPort) << R"("}]}})";
}

} // namespace cornelcross::test
