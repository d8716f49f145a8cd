#pragma once

#include "base/time.hpp"
#include "config/configuration.hpp"

#include <map>

namespace cornelcross::config {

/// @brief Keeps for a while what vanished from the documents but may still hold flows: upstreams, as
/// UpstreamState::kGone, and services behind an address, with weight 0.
///
/// An upstream is forgotten once its lifetime is over, once it is listed again, or once another one
/// is listed with its agent or its address; a service behind an address likewise. An address whose
/// document is deleted takes its flows with it. Deterministic: time comes with each call.
class RetainedRoutes
{
public:
  /// @param aLifetime longest time that a flow lasts after its route vanished
  explicit RetainedRoutes(base::Duration aLifetime) : mLifetime(aLifetime) {}

  /// @brief Takes over what the documents declare. @return what is to be in force
  ConfigurationPtr apply(base::Time aNow, ConfigurationPtr aDeclared);

  /// @brief Forgets what has been kept for its lifetime. @return what is to be in force from now on;
  /// empty if nothing changed
  ConfigurationPtr expire(base::Time aNow);

  /// @brief Upstreams and services behind an address that are kept.
  std::size_t size() const { return mUpstreams.size() + mShares.size(); }

private:
  struct GoneUpstream
  {
    std::string mService;
    Upstream mUpstream;
    base::Time mSince;
  };

  struct GoneShare
  {
    flow::Endpoint mAddress;
    std::string mService;
    base::Time mSince;
  };

  void applyServices(base::Time aNow, const Configuration& aNext);
  void applyAddresses(base::Time aNow, const Configuration& aNext);
  void collect(base::Time aNow, const Service& aBefore, const Service* aAfter);
  void forgetListed(const Service& aService);
  ConfigurationPtr combine() const;

  base::Duration mLifetime;
  ConfigurationPtr mDeclared = std::make_shared<const Configuration>();
  std::vector<GoneUpstream> mUpstreams;
  std::vector<GoneShare> mShares;
};

} // namespace cornelcross::config
