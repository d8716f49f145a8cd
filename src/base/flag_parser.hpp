#pragma once

#include <string>
#include <vector>

namespace cornelcross::base {

/// @brief Result of parsing the command line and the environment.
struct ParsedFlags
{
  std::vector<std::string> mArguments; ///< arguments that are not flags, in their order
  std::vector<std::string> mErrors;    ///< one message for each unknown flag or invalid value
  bool mIsHelpRequested = false;
  bool mIsVersionRequested = false;
};

/// @brief Sets the program's gflags from aArguments (without the program's name). Flags that are
/// not among the arguments are set from the environment variables CORNELCROSS_<FLAG IN CAPITALS>.
///
/// Accepts what gflags accepts: -flag, --flag, --flag=value, --flag value, --noflag for a boolean,
/// and "--" before arguments. Continues after an error, to report all errors at once.
ParsedFlags parseFlags(const std::vector<std::string>& aArguments);

/// @brief Help text: aUsage, then the program's flags by group with type, default and environment
/// variable. Brackets at the start of a flag's description enclose its group.
std::string describeFlags(const std::string& aUsage);

} // namespace cornelcross::base
