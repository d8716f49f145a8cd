#include "config/cross_check.hpp"

#include "config/document_key.hpp"

namespace cornelcross::config {

namespace {

class Collector
{
public:
  explicit Collector(const std::string& aService) : mService(aService) {}

  /// Records a fault if another service owns what stands at aPath.
  void check(const std::string* aOwner, const std::string& aPath, const std::string& aWhat)
  {
    if (aOwner != nullptr && *aOwner != mService) {
      mErrors.push_back({ aPath, aWhat + " that " + serviceKey(*aOwner) + " does not use" });
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

// A packet must never reach another service. Were an address or an agent in two services, the
// result would hang on the order of a map, and an agent would serve whichever came last.
std::vector<ConfigError> crossCheck(const Service& aService, const EndpointIndex& aIndex)
{
  Collector collector(aService.mName);
  collector.check(
    aIndex.serviceAt(aService.mAddress), serviceKey(aService.mName) + ".address", "an address");
  for (std::size_t i = 0; i < aService.mUpstreams.size(); ++i) {
    const Upstream& upstream = aService.mUpstreams[i];
    const std::string path = upstreamPath(aService.mName, i);
    collector.check(aIndex.listedBy(upstream.mAgent), path + ".agent", "an endpoint");
    collector.check(aIndex.listedBy(upstream.mAddress), path + ".address", "an endpoint");
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
        warnings.push_back({ upstreamPath(name, i) + ".zone",
                             "a zone that \"zones\" lists; \"" + zone + "\" counts as in" });
      }
    }
  }
  return warnings;
}

} // namespace cornelcross::config
