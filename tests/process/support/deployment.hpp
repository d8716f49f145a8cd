#pragma once

#include "process/support/child.hpp"

#include <memory>
#include <optional>

namespace cornelcross::test {

/// @brief Deployment of a configuration service, a balancer and an optional agent. The
/// configuration has one service "s" with one upstream "u". The constructor returns when the
/// balancer and the agent are ready to forward.
class Deployment
{
public:
  /// @param aNetworkOctet third octet of the loopback addresses; test files use distinct octets
  /// @param aDrainSeconds drain time of the balancer
  /// @param aStartsAgent  true to start the agent too
  Deployment(int aNetworkOctet, int aDrainSeconds, bool aStartsAgent);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  Child& balancer() { return *mBalancer; }
  Child& agent() { return *mAgent; }
  Child& configService() { return *mConfigService; }

  /// @brief Endpoint of a host as "127.31.NETWORK_OCTET.aHost:aPort".
  std::string endpoint(int aHost, int aPort) const;

  std::string balancerAdmin() const { return endpoint(2, 9000); }
  std::string agentAdmin() const { return endpoint(3, 9000); }

private:
  void writeDocuments() const;

  int mNetworkOctet;
  std::string mDocumentsFile;
  std::unique_ptr<Child> mConfigService;
  std::unique_ptr<Child> mBalancer;
  std::unique_ptr<Child> mAgent;
};

} // namespace cornelcross::test
