#pragma once

#include <string>
#include <vector>

namespace cornelcross::base {

/// @brief Result of reading the command line and the environment.
struct ParsedFlags
{
  std::vector<std::string> mArguments; ///< what is no flag, in its order
  std::vector<std::string> mErrors;    ///< every unknown flag and unparsable value
  bool mWantsHelp = false;
  bool mWantsVersion = false;
};

/// @brief Sets the program's gflags from aArguments (without the program's name), and those that
/// are not among them from the environment variables CORNELCROSS_<FLAG IN CAPITALS>.
///
/// Accepts what gflags accepts: -flag, --flag, --flag=value, --flag value, --noflag for a boolean,
/// and "--" before arguments. Goes on after an error, so that all are found at once.
ParsedFlags parseFlags(const std::vector<std::string>& aArguments);

/// @brief Help text: usage, then the program's flags by group with type, default and environment
/// variable. The group is what stands in brackets at the start of a flag's description.
std::string describeFlags(const std::string& aUsage);

} // namespace cornelcross::base
