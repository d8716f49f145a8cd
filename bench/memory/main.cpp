/// Measures what a configuration costs a process: memory, time to load it and time to apply one
/// change, in the document store, in a balancer's and in an agent's decisions; and the memory of an
/// agent per flow. Prints one line of key=value pairs for each figure.

#include "agent/flow_manager.hpp"
#include "balancer/packet_router.hpp"
#include "base/settings_validator.hpp"
#include "config/document_store.hpp"
#include "net/main_loop.hpp"

#include <algorithm>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

DEFINE_uint32(services, 12000, "services");
DEFINE_uint32(upstreams, 21000, "upstreams over all services");
DEFINE_uint32(changes, 50, "changes that are timed");
DEFINE_uint32(flows, 20000, "flows of the agent");

namespace {

using namespace cornelcross;

constexpr double kBytesPerMegabyte = 1e6;

double residentMegabytes()
{
  malloc_trim(0);
  std::ifstream file("/proc/self/statm");
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident * sysconf(_SC_PAGESIZE)) / kBytesPerMegabyte;
}

double milliseconds(base::Time aFrom)
{
  return std::chrono::duration<double, std::milli>(net::MainLoop::now() - aFrom).count();
}

std::string keyOf(std::uint32_t aService)
{
  return "service/service-" + std::to_string(aService);
}

flow::Endpoint agentOf(std::uint32_t aUpstream)
{
  return { { 0x0A000001U + aUpstream }, 7000 };
}

std::string serviceText(std::uint32_t aService, const std::string& aState)
{
  const std::uint32_t first = static_cast<std::uint32_t>(static_cast<std::uint64_t>(aService) *
                                                         FLAGS_upstreams / FLAGS_services);
  const std::uint32_t end = static_cast<std::uint32_t>(static_cast<std::uint64_t>(aService + 1) *
                                                       FLAGS_upstreams / FLAGS_services);
  nlohmann::json upstreams = nlohmann::json::array();
  for (std::uint32_t i = first; i < end; ++i) {
    upstreams.push_back(
      { { "name",
          "service-" + std::to_string(aService) + "-upstream-" + std::to_string(i - first) },
        { "agent", agentOf(i).toString() },
        { "address", flow::Endpoint{ agentOf(i).mAddress, 7001 }.toString() },
        { "zone", "region-a-zone-" + std::to_string(i % 27) },
        { "slots", 7 },
        { "state", aState } });
  }
  const flow::Endpoint address{ { 0xC6120001U + aService }, 80 };
  const nlohmann::json document = { { "address", address.toString() }, { "upstreams", upstreams } };
  return document.dump();
}

struct Summary
{
  double mMedian = 0;
  double mWorst = 0;
};

Summary summarize(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return { aValues[aValues.size() / 2], aValues.back() };
}

void print(const std::string& aName, const Summary& aSummary)
{
  std::cout << "measure=" << aName << " services=" << FLAGS_services
            << " upstreams=" << FLAGS_upstreams << " median_ms=" << aSummary.mMedian
            << " worst_ms=" << aSummary.mWorst << '\n';
}

void measureChanges(config::DocumentStore& aStore,
                    balancer::PacketRouter& aBalancer,
                    agent::FlowManager& aAgent)
{
  std::vector<double> merges;
  std::vector<double> balancers;
  std::vector<double> agents;
  for (std::uint32_t i = 0; i < FLAGS_changes; ++i) {
    const std::uint64_t revision = aStore.revision() + 1;
    const std::uint32_t service = i * 997 % FLAGS_services;
    const std::string text = serviceText(service, i % 2 == 0 ? "leaving" : "serving");
    base::Time start = net::MainLoop::now();
    aStore.merge(revision, { { keyOf(service), revision, text } });
    merges.push_back(milliseconds(start));
    start = net::MainLoop::now();
    aBalancer.apply(aStore.configuration());
    balancers.push_back(milliseconds(start));
    start = net::MainLoop::now();
    aAgent.apply(start, aStore.configuration());
    agents.push_back(milliseconds(start));
  }
  print("merge_one_change", summarize(merges));
  print("balancer_apply_one_change", summarize(balancers));
  print("agent_apply_one_change", summarize(agents));
}

double loadDocuments(config::DocumentStore& aStore)
{
  std::vector<config::Document> documents;
  double bytes = 0;
  for (std::uint32_t i = 0; i < FLAGS_services; ++i) {
    documents.push_back({ keyOf(i), i + 1, serviceText(i, "serving") });
    bytes += static_cast<double>(documents.back().mText->size());
  }
  const base::Time start = net::MainLoop::now();
  aStore.merge(FLAGS_services, documents);
  std::cout << "measure=load_all services=" << FLAGS_services << " upstreams=" << FLAGS_upstreams
            << " ms=" << milliseconds(start) << " text_megabytes=" << bytes / kBytesPerMegabyte
            << '\n';
  return bytes;
}

void measureConfiguration()
{
  const double before = residentMegabytes();
  config::DocumentStore store;
  loadDocuments(store);
  const double loaded = residentMegabytes();
  balancer::PacketRouter balancer({}, 1);
  balancer.apply(store.configuration());
  agent::AgentSettings settings;
  settings.mSelf = agentOf(FLAGS_upstreams / 2);
  agent::FlowManager agent(settings);
  agent.apply(net::MainLoop::now(), store.configuration());
  const double applied = residentMegabytes();
  measureChanges(store, balancer, agent);
  std::cout << "measure=memory services=" << FLAGS_services << " upstreams=" << FLAGS_upstreams
            << " store_megabytes=" << loaded - before
            << " balancer_index_megabytes=" << applied - loaded
            << " after_changes_megabytes=" << residentMegabytes() - before << '\n';
}

void measureFlows()
{
  const double before = residentMegabytes();
  agent::FlowTable flows;
  for (std::uint32_t i = 0; i < FLAGS_flows; ++i) {
    flows.insert({ { { 0x0A010000U + i / 50000 }, static_cast<std::uint16_t>(1024 + i % 50000) },
                   { { 0xC6120001U }, 80 } },
                 {});
  }
  const double bytes = (residentMegabytes() - before) * kBytesPerMegabyte;
  std::cout << "measure=agent_flow_table flows=" << FLAGS_flows
            << " bytes_per_flow=" << bytes / FLAGS_flows << '\n';
}

} // namespace

int main(int aArgc, char** aArgv)
{
  base::SettingsValidator validator(
    base::parseSettings(&aArgc, &aArgv, "Measures the memory of a configuration and of flows."));
  validator.requireRange("services", FLAGS_services, 1, 1000000);
  validator.requireRange("upstreams", FLAGS_upstreams, FLAGS_services, 16000000);
  validator.requireRange("changes", FLAGS_changes, 1, 100000);
  validator.requireRange("flows", FLAGS_flows, 1, 100000000);
  if (validator.printErrors()) {
    return base::kExitInvalidSettings;
  }
  measureFlows();
  measureConfiguration();
  return 0;
}
