#include "config/configuration.hpp"

namespace cornelcross::config {

bool Configuration::zoneIsIn(const std::string& aZone) const
{
  const auto found = mZones.find(aZone);
  return found == mZones.end() || found->second.mIsIn || !base::mechanisms().mObserveZoneOut;
}

std::size_t Configuration::workspaceOf(flow::Ipv4Address aAddress) const
{
  for (std::size_t i = 0; i < mWorkspaces.size(); ++i) {
    for (const Prefix& prefix : mWorkspaces[i].mPrefixes) {
      if (prefix.contains(aAddress)) {
        return i + 1;
      }
    }
  }
  return 0;
}

} // namespace cornelcross::config
