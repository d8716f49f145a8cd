#pragma once

#include "config/service.hpp"

#include <map>
#include <unordered_map>

namespace cornelcross::config {

/// @brief Which service uses an endpoint, over all accepted services. Each operation takes time
/// in proportion to the upstreams of one service, whatever the number of services.
class EndpointIndex
{
public:
  /// @brief Adds a service or replaces the one of the same name.
  void store(const Service& aService);

  /// @brief Removes a service if it is there.
  void erase(const std::string& aService);

  /// @brief Name of the service that callers reach at aAddress; nullptr if there is none.
  const std::string* serviceAt(flow::Endpoint aAddress) const;

  /// @brief Name of the service that lists aEndpoint as an agent or upstream; nullptr if none does.
  const std::string* listedBy(flow::Endpoint aEndpoint) const;

private:
  using Owners = std::unordered_map<flow::Endpoint, std::string, flow::EndpointHash>;

  struct Used
  {
    flow::Endpoint mAddress;
    std::vector<flow::Endpoint> mListed;
  };

  static const std::string* find(const Owners& aOwners, flow::Endpoint aEndpoint);

  std::map<std::string, Used> mUsed;
  Owners mByAddress;
  Owners mByListed;
};

} // namespace cornelcross::config
