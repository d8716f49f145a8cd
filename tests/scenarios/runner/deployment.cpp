#include "scenarios/runner/deployment.hpp"

#include <nlohmann/json.hpp>

namespace cornelcross::scenarios {

std::string Deployment::serviceDocument(const std::string& aService) const
{
  const ServiceSpec& service = mServices.at(aService);
  nlohmann::json upstreams = nlohmann::json::array();
  for (const auto& [name, upstream] : mUpstreams) {
    if (upstream.mService != aService || upstream.mState == "removed") {
      continue;
    }
    upstreams.push_back({ { "name", upstream.mName },
                          { "agent", upstream.mAgent.toString() },
                          { "address", upstream.mAddress.toString() },
                          { "zone", upstream.mZone },
                          { "slots", service.mSlots },
                          { "state", upstream.mState } });
  }
  return nlohmann::json{
    { "address", service.mAddress.toString() }, { "upstreams", upstreams }
  }.dump();
}

std::string Deployment::zonesDocument() const
{
  nlohmann::json zones = nlohmann::json::array();
  for (const std::string& zone : mZones) {
    const auto found = mIsZoneInService.find(zone);
    const bool isInService = found == mIsZoneInService.end() || found->second;
    zones.push_back({ { "name", zone }, { "state", isInService ? "in" : "out" } });
  }
  return nlohmann::json{ { "zones", zones } }.dump();
}

} // namespace cornelcross::scenarios
