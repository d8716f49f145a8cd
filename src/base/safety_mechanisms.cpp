#include "base/safety_mechanisms.hpp"

namespace cornelcross::base {

// Alone in its file, so that the linker leaves it out where a test defines its own.
const SafetyMechanisms& safetyMechanisms()
{
  static constexpr SafetyMechanisms kAll{};
  return kAll;
}

} // namespace cornelcross::base
