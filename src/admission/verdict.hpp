#pragma once

namespace cornelcross::admission {

/// @brief What happens to a new flow at one upstream.
enum class Verdict
{
  kAdmit, ///< deliver it
  kPass,  ///< let the next candidate decide
};

} // namespace cornelcross::admission
