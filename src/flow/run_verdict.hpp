#pragma once

#include <string_view>

namespace cornelcross::flow {

/// @brief States whether an upstream may have executed a request of a flow that ended.
enum class RunVerdict
{
  kNotRun,     ///< no packet of the flow reached an upstream; a retry is safe
  kMayHaveRun, ///< an upstream may have received a request; only an idempotent request may be
               ///< retried
};

/// @brief Name of the verdict in logs.
inline std::string_view toString(RunVerdict aVerdict)
{
  return aVerdict == RunVerdict::kNotRun ? "not_run" : "may_have_run";
}

} // namespace cornelcross::flow
