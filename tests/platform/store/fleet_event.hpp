#pragma once

#include <compare>
#include <iosfwd>

namespace cornelcross::test {

/// @brief An event of a random day of a StoreFleet.
struct FleetEvent
{
  enum class Kind
  {
    kNone,
    kChangeConfig,
    kToggleZone,
    kAddBackend,
    kDrainBackend,
    kCrashBackend,
    kRestore,
    kKill,
    kKillAll,
    kFreeze,
    kCutFromStore,
    kCutFromPeers,
    kRead,
    kLateResponse,
    kCorruptHeader,
  };

  Kind mKind = Kind::kNone;
  unsigned mTarget = 0; ///< selects a process, backend or zone
  unsigned mAmount = 0; ///< selects a duration, an age or a variant

  auto operator<=>(const FleetEvent&) const = default;
};

/// @brief Prints the event of a counterexample.
std::ostream& operator<<(std::ostream& aStream, const FleetEvent& aEvent);

} // namespace cornelcross::test
