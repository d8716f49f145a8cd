#include "config/cross_check.hpp"

#include "config/document_key.hpp"

namespace cornelcross::config {

namespace {

/// Collects the errors of one service.
class ConflictCollector
{
public:
  explicit ConflictCollector(const std::string& aService) : mService(aService) {}

  /// Adds an error if aUser, the service that uses the endpoint at aPath, is another service.
  /// aUser is nullptr if no service uses the endpoint.
  void addIfUsed(const std::string* aUser,
                 const std::string& aPath,
                 const std::string& aDescription)
  {
    if (aUser != nullptr && *aUser != mService) {
      mErrors.push_back({ aPath, aDescription + " that " + serviceKey(*aUser) + " does not use" });
    }
  }

  std::vector<ConfigError> errors() && { return std::move(mErrors); }

private:
  const std::string& mService;
  std::vector<ConfigError> mErrors;
};

std::string upstreamPath(const std::string& aService, std::size_t aIndex)
{
  return serviceKey(aService) + ".upstreams[" + std::to_string(aIndex) + "]";
}

} // namespace

// A packet must never reach another service. With an address or an agent in two services, the
// selected service would depend on the iteration order of a map, and an agent would serve the
// service that was loaded last.
std::vector<ConfigError> crossCheck(const Service& aService, const EndpointIndex& aIndex)
{
  ConflictCollector collector(aService.mName);
  collector.addIfUsed(aIndex.serviceWithAddress(aService.mAddress),
                      serviceKey(aService.mName) + ".address",
                      "an address");
  for (std::size_t i = 0; i < aService.mUpstreams.size(); ++i) {
    const Upstream& upstream = aService.mUpstreams[i];
    const std::string path = upstreamPath(aService.mName, i);
    collector.addIfUsed(
      aIndex.serviceWithEndpoint(upstream.mAgent), path + ".agent", "an endpoint");
    collector.addIfUsed(
      aIndex.serviceWithEndpoint(upstream.mAddress), path + ".address", "an endpoint");
  }
  return std::move(collector).errors();
}

std::vector<ConfigError> findUnlistedZones(const Configuration& aConfiguration)
{
  std::vector<ConfigError> warnings;
  for (const auto& [name, service] : aConfiguration.mServices) {
    for (std::size_t i = 0; i < service.mUpstreams.size(); ++i) {
      const std::string& zone = service.mUpstreams[i].mZone;
      if (aConfiguration.mZones.count(zone) == 0) {
        warnings.push_back(
          { upstreamPath(name, i) + ".zone",
            "a zone that \"zones\" lists; \"" + zone + "\" is taken to be in service" });
      }
    }
  }
  return warnings;
}

} // namespace cornelcross::config
