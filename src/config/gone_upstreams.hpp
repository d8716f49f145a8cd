#pragma once

#include "base/time.hpp"
#include "config/configuration.hpp"

#include <map>

namespace cornelcross::config {

/// @brief Keeps upstreams that vanished from the documents in force for a while, as UpstreamState::
/// kGone: such an upstream may live on and hold flows.
///
/// An upstream is forgotten once its lifetime is over, once it is listed again, or once another one
/// is listed with its agent or its address. Deterministic: time comes with each call.
class GoneUpstreams
{
public:
  /// @param aLifetime longest time that a flow of a vanished upstream lasts
  explicit GoneUpstreams(base::Duration aLifetime) : mLifetime(aLifetime) {}

  /// @brief Takes over what the documents declare. @return what is to be in force
  ConfigurationPtr apply(base::Time aNow, ConfigurationPtr aDeclared);

  /// @brief Forgets upstreams whose time is over. @return what is to be in force from now on;
  /// empty if nothing changed
  ConfigurationPtr expire(base::Time aNow);

  /// @brief Upstreams kept.
  std::size_t size() const { return mGone.size(); }

private:
  struct Gone
  {
    std::string mService;
    Upstream mUpstream;
    base::Time mSince;
  };

  void collect(base::Time aNow, const Service& aBefore, const Service* aAfter);
  void forgetListed(const Service& aService);
  ConfigurationPtr combine() const;

  base::Duration mLifetime;
  ConfigurationPtr mDeclared = std::make_shared<const Configuration>();
  std::vector<Gone> mGone;
};

} // namespace cornelcross::config
