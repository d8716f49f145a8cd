#pragma once

#include "process/support/child.hpp"

#include <memory>
#include <optional>

namespace cornelcross::test {

/// @brief A configuration service with one service "s" of one upstream, a balancer and, if wanted,
/// the agent; each ready to forward.
class Deployment
{
public:
  /// @param aNet       third octet of the loopback addresses in use, one for each test
  /// @param aDrain     drain time of the balancer, in seconds
  /// @param aWithAgent starts the agent too
  Deployment(int aNet, int aDrain, bool aWithAgent);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  Child& balancer() { return *mBalancer; }
  Child& agent() { return *mAgent; }

  /// @brief "address:port" of a host, as "127.31.NET.aHost:aPort".
  std::string endpoint(int aHost, int aPort) const;

  std::string balancerAdmin() const { return endpoint(2, 9000); }
  std::string agentAdmin() const { return endpoint(3, 9000); }

private:
  void writeDocuments() const;

  int mNet;
  std::string mDocuments;
  std::unique_ptr<Child> mService;
  std::unique_ptr<Child> mBalancer;
  std::unique_ptr<Child> mAgent;
};

} // namespace cornelcross::test
