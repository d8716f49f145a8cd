#include "base/safety_mechanisms.hpp"

namespace cornelcross::base {

// The definition is alone in its file, so that the linker omits it from a test program with a
// definition of its own.
const SafetyMechanisms& safetyMechanisms()
{
  static constexpr SafetyMechanisms kAllEnabled{};
  return kAllEnabled;
}

} // namespace cornelcross::base
