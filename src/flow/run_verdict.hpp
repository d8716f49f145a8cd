#pragma once

#include <string_view>

namespace cornelcross::flow {

/// @brief Whether a request of a flow that ended may have run.
enum class RunVerdict
{
  kNotRun,     ///< nothing of the flow reached an upstream; a retry is safe
  kMayHaveRun, ///< an upstream may have received a request; only idempotent ones may be retried
};

/// @brief Name used in logs.
inline std::string_view toString(RunVerdict aVerdict)
{
  return aVerdict == RunVerdict::kNotRun ? "not_run" : "may_have_run";
}

} // namespace cornelcross::flow
