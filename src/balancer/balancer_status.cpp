#include "balancer/balancer_status.hpp"

namespace cornelcross::balancer {

namespace {

constexpr std::size_t kMaxListedUpstreams = 1000;

nlohmann::json describe(const std::string& aService,
                        const config::Upstream& aUpstream,
                        const config::Configuration& aConfiguration,
                        bool aIsSuspected)
{
  return { { "service", aService },
           { "name", aUpstream.mName },
           { "agent", aUpstream.mAgent.toString() },
           { "zone", aUpstream.mZone },
           { "state", std::string(toString(aUpstream.mState)) },
           { "eligible", aConfiguration.acceptsNewFlows(aUpstream) },
           { "receives", aConfiguration.acceptsPackets(aUpstream) },
           { "suspected", aIsSuspected } };
}

nlohmann::json describeZones(const config::Configuration& aConfiguration)
{
  nlohmann::json zones = nlohmann::json::object();
  for (const auto& [name, zone] : aConfiguration.mZones) {
    zones[name] = zone.mIsInService ? "in" : "out";
  }
  return zones;
}

std::size_t countUpstreams(const config::Configuration& aConfiguration)
{
  std::size_t count = 0;
  for (const auto& [name, service] : aConfiguration.mServices) {
    count += service.mUpstreams.size();
  }
  return count;
}

nlohmann::json listUpstreams(const PacketRouter& aRouter, bool aListsOnlyUnusual)
{
  const config::Configuration& configuration = aRouter.configuration();
  nlohmann::json upstreams = nlohmann::json::array();
  for (const auto& [name, service] : configuration.mServices) {
    for (const config::Upstream& upstream : service.mUpstreams) {
      const bool isSuspected = aRouter.failureDetector().isSuspected(upstream.mAgent);
      const bool isUnusual = isSuspected || !configuration.acceptsNewFlows(upstream);
      if (upstreams.size() < kMaxListedUpstreams && (isUnusual || !aListsOnlyUnusual)) {
        upstreams.push_back(describe(name, upstream, configuration, isSuspected));
      }
    }
  }
  return upstreams;
}

} // namespace

nlohmann::json makeStatus(const std::string& aName, const PacketRouter& aRouter, bool aIsStopping)
{
  const config::Configuration& configuration = aRouter.configuration();
  const std::size_t upstreams = countUpstreams(configuration);
  const bool listsOnlyUnusual = upstreams > kMaxListedUpstreams;
  return { { "name", aName },
           { "role", "balancer" },
           { "revision", aRouter.revision() },
           { "stopping", aIsStopping },
           { "services", configuration.mServices.size() },
           { "zones", describeZones(configuration) },
           { "upstreams_total", upstreams },
           { "lists_only_unusual_upstreams", listsOnlyUnusual },
           { "upstreams", listUpstreams(aRouter, listsOnlyUnusual) },
           { "suspected_agents", aRouter.failureDetector().suspectCount() } };
}

} // namespace cornelcross::balancer
