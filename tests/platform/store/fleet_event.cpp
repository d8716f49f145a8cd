#include "platform/store/fleet_event.hpp"

#include <ostream>

namespace cornelcross::test {

std::ostream& operator<<(std::ostream& aStream, const FleetEvent& aEvent)
{
  return aStream << "{" << static_cast<int>(aEvent.mKind) << "," << aEvent.mTarget << ","
                 << aEvent.mAmount << "}";
}

} // namespace cornelcross::test
