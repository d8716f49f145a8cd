#include "base/flag_parser.hpp"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <gflags/gflags.h>
#include <map>
#include <set>

namespace cornelcross::base {

namespace {

using Flag = gflags::CommandLineFlagInfo;

// gflags exits the process at the first unknown flag or invalid value. The parser therefore
// iterates over the arguments itself and uses gflags only for definitions, types and conversions.

std::string environmentName(const std::string& aFlag)
{
  std::string name = "CORNELCROSS_" + aFlag;
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::toupper(aCharacter));
  });
  return name;
}

/// True for flags that gflags itself defines.
bool isBuiltIn(const Flag& aFlag)
{
  const auto slash = aFlag.filename.rfind('/');
  const std::string file =
    slash == std::string::npos ? aFlag.filename : aFlag.filename.substr(slash + 1);
  return file.starts_with("gflags");
}

std::map<std::string, Flag> programFlags()
{
  std::vector<Flag> all;
  gflags::GetAllFlags(&all);
  std::map<std::string, Flag> flags;
  for (const Flag& flag : all) {
    if (!isBuiltIn(flag)) {
      flags.emplace(flag.name, flag);
    }
  }
  return flags;
}

class Parser
{
public:
  explicit Parser(const std::vector<std::string>& aArguments) : mArguments(aArguments) {}

  ParsedFlags parse()
  {
    for (; mNextArgument < mArguments.size(); ++mNextArgument) {
      const std::string& argument = mArguments[mNextArgument];
      if (argument == "--") {
        mResult.mArguments.insert(mResult.mArguments.end(),
                                  mArguments.begin() + static_cast<std::ptrdiff_t>(mNextArgument) +
                                    1,
                                  mArguments.end());
        break;
      }
      if (argument.size() < 2 || argument[0] != '-') {
        mResult.mArguments.push_back(argument);
      } else {
        parseFlag(argument.substr(argument[1] == '-' ? 2 : 1));
      }
    }
    parseEnvironment();
    return std::move(mResult);
  }

private:
  void parseFlag(const std::string& aText)
  {
    const auto equals = aText.find('=');
    const std::string name = aText.substr(0, equals);
    const bool hasValue = equals != std::string::npos;
    if (name == "help" || name == "version") {
      (name == "help" ? mResult.mIsHelpRequested : mResult.mIsVersionRequested) = true;
      return;
    }
    const auto found = mFlags.find(name);
    if (found != mFlags.end()) {
      const bool isBoolean = found->second.type == "bool";
      if (hasValue) {
        set(found->second, "--" + name, aText.substr(equals + 1));
      } else if (isBoolean) {
        set(found->second, "--" + name, "true");
      } else {
        setFromNextArgument(found->second);
      }
      return;
    }
    const auto negated = mFlags.find(name.starts_with("no") ? name.substr(2) : "");
    if (!hasValue && negated != mFlags.end() && negated->second.type == "bool") {
      set(negated->second, "--" + name, "false");
      return;
    }
    mResult.mErrors.push_back("--" + name + ": unknown flag");
  }

  void setFromNextArgument(const Flag& aFlag)
  {
    if (mNextArgument + 1 >= mArguments.size()) {
      mSetFlags.insert(aFlag.name);
      mResult.mErrors.push_back("--" + aFlag.name + ": expected a value");
      return;
    }
    ++mNextArgument;
    set(aFlag, "--" + aFlag.name, mArguments[mNextArgument]);
  }

  void set(const Flag& aFlag, const std::string& aSource, const std::string& aValue)
  {
    mSetFlags.insert(aFlag.name);
    if (gflags::SetCommandLineOption(aFlag.name.c_str(), aValue.c_str()).empty()) {
      mResult.mErrors.push_back(aSource + ": expected a value of type " + aFlag.type +
                                ", found \"" + aValue + "\"");
    }
  }

  void parseEnvironment()
  {
    for (const auto& [name, flag] : mFlags) {
      const std::string variable = environmentName(name);
      const char* value = std::getenv(variable.c_str());
      if (value != nullptr && mSetFlags.count(name) == 0) {
        set(flag, variable, value);
      }
    }
  }

  const std::vector<std::string>& mArguments;
  const std::map<std::string, Flag> mFlags = programFlags();
  std::set<std::string> mSetFlags;
  std::size_t mNextArgument = 0;
  ParsedFlags mResult;
};

struct Description
{
  std::string mGroup;
  std::string mText;
};

Description splitDescription(const std::string& aText)
{
  const auto close = aText.find("] ");
  if (!aText.starts_with('[') || close == std::string::npos) {
    return { "Other", aText };
  }
  return { aText.substr(1, close - 1), aText.substr(close + 2) };
}

std::string describeFlag(const Flag& aFlag, const std::string& aText)
{
  const std::string value =
    aFlag.type == "string" ? "\"" + aFlag.default_value + "\"" : aFlag.default_value;
  std::string line = "  --" + aFlag.name + "=" + aFlag.type;
  line.append("  (default ").append(value).append(")\n      ").append(aText);
  line.append("\n      environment: ").append(environmentName(aFlag.name)).append("\n");
  return line;
}

} // namespace

ParsedFlags parseFlags(const std::vector<std::string>& aArguments)
{
  return Parser(aArguments).parse();
}

std::string describeFlags(const std::string& aUsage)
{
  std::map<std::string, std::string> groups;
  for (const auto& [name, flag] : programFlags()) {
    const Description description = splitDescription(flag.description);
    groups[description.mGroup] += describeFlag(flag, description.mText);
  }
  std::string text = aUsage + "\n";
  for (const auto& [group, flags] : groups) {
    text.append("\n").append(group).append(":\n").append(flags);
  }
  return text + "\nGeneral:\n  --help     print this text and exit\n"
                "  --version  print the version and exit\n";
}

} // namespace cornelcross::base
