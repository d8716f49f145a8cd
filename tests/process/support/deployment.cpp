#include "process/support/deployment.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <unistd.h>

namespace cornelcross::test {

namespace {

constexpr int kData = 7000;
constexpr int kUpstream = 7001;
constexpr int kHttp = 8000;
constexpr int kAdmin = 9000;

void waitUntilReady(const std::string& aAdmin)
{
  BOOST_REQUIRE(httpGetUntil(aAdmin, "/healthz", "200 ok\n") == "200 ok\n");
}

} // namespace

Deployment::Deployment(int aNet, int aDrain, bool aWithAgent)
  : mNet(aNet)
  , mDocuments("cornelcross-test-" + std::to_string(getpid()) + "-" + std::to_string(aNet) +
               ".json")
{
  writeDocuments();
  const std::string config = endpoint(1, kHttp);
  mService = std::make_unique<Child>(
    "tests/fake-config-service",
    std::vector<std::string>{ "--listen=" + config, "--documents=" + mDocuments });
  mBalancer = std::make_unique<Child>(
    "cornelcross-balancer",
    std::vector<std::string>{ "--listen=" + endpoint(2, kData),
                              "--admin=" + endpoint(2, kAdmin),
                              "--config_service=" + config,
                              "--drain_seconds=" + std::to_string(aDrain) });
  waitUntilReady(balancerAdmin());
  if (aWithAgent) {
    mAgent = std::make_unique<Child>("cornelcross-agent",
                                     std::vector<std::string>{ "--listen=" + endpoint(3, kData),
                                                               "--admin=" + endpoint(3, kAdmin),
                                                               "--config_service=" + config,
                                                               "--fabric=" + endpoint(4, kData),
                                                               "--log_flows" });
    waitUntilReady(agentAdmin());
  }
}

Deployment::~Deployment()
{
  std::remove(mDocuments.c_str());
}

std::string Deployment::endpoint(int aHost, int aPort) const
{
  return "127.31." + std::to_string(mNet) + "." + std::to_string(aHost) + ":" +
         std::to_string(aPort);
}

void Deployment::writeDocuments() const
{
  std::ofstream(mDocuments) << R"({"service/s": {"address": "198.51.100.1:80", "upstreams": [
    {"name": "u", "zone": "a", "slots": 3, "state": "serving", "agent": ")"
                            << endpoint(3, kData) << R"(", "address": ")" << endpoint(3, kUpstream)
                            << R"("}]}})";
}

} // namespace cornelcross::test
