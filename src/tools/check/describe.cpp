#include "tools/check/describe.hpp"

namespace cornelcross::tools::check {

std::string describe(const config::Configuration& aConfiguration, const config::Upstream* aUpstream)
{
  if (aUpstream == nullptr) {
    return kUnlisted;
  }
  const std::string zone = aConfiguration.isZoneInService(aUpstream->mZone) ? " in" : " out";
  return std::string(toString(aUpstream->mState)) + ", zone " + aUpstream->mZone + zone +
         ", weight " + std::to_string(aUpstream->mWeight) + ", slots " +
         std::to_string(aUpstream->mSlots) + ", agent " + aUpstream->mAgent.toString() +
         ", address " + aUpstream->mAddress.toString();
}

std::string describe(const config::AddressRoute* aRoute)
{
  if (aRoute == nullptr) {
    return kUnlisted;
  }
  std::string text;
  for (const config::ServiceShare& share : aRoute->mShares) {
    text +=
      (text.empty() ? "" : ", ") + share.mService + " weight " + std::to_string(share.mWeight);
  }
  return text.empty() ? "no service" : text;
}

std::string describe(const config::RequestClass* aRequestClass)
{
  if (aRequestClass == nullptr) {
    return kUnlisted;
  }
  return "rank " + std::to_string(aRequestClass->mRank) + ", objective " +
         std::to_string(aRequestClass->mObjectiveMs) + " ms, deadline " +
         std::to_string(aRequestClass->mDeadlineMs) + " ms, " +
         (aRequestClass->mIsRepeatable ? "repeatable" : "not repeatable");
}

std::string describe(const config::ColdStart& aColdStart)
{
  if (aColdStart == config::ColdStart{}) {
    return "none";
  }
  return std::to_string(aColdStart.mDurationMs) + " ms, " +
         std::to_string(aColdStart.mMaxNewFlowsPerSecond) + " flows per second";
}

} // namespace cornelcross::tools::check
