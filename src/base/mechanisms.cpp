#include "base/mechanisms.hpp"

namespace cornelcross::base {

// Alone in its file, so that the linker leaves it out where a test defines its own.
const Mechanisms& mechanisms()
{
  static constexpr Mechanisms kAll{};
  return kAll;
}

} // namespace cornelcross::base
