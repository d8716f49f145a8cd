#include "config/configuration.hpp"

namespace cornelcross::config {

bool Configuration::zoneIsIn(const std::string& aZone) const
{
  const auto found = mZones.find(aZone);
  return found == mZones.end() || found->second.mIsIn || !base::mechanisms().mObserveZoneOut;
}

} // namespace cornelcross::config
