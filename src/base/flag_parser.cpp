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

// gflags ends the process at the first unknown flag or bad value, so that the loop over the
// arguments is ours; definitions, types and conversion stay with gflags.

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

std::map<std::string, Flag> ownFlags()
{
  std::vector<Flag> all;
  gflags::GetAllFlags(&all);
  std::map<std::string, Flag> own;
  for (const Flag& flag : all) {
    if (!isBuiltIn(flag)) {
      own.emplace(flag.name, flag);
    }
  }
  return own;
}

class Parser
{
public:
  explicit Parser(const std::vector<std::string>& aArguments) : mArguments(aArguments) {}

  ParsedFlags parse()
  {
    for (; mNext < mArguments.size(); ++mNext) {
      const std::string& argument = mArguments[mNext];
      if (argument == "--") {
        mResult.mArguments.insert(mResult.mArguments.end(),
                                  mArguments.begin() + static_cast<std::ptrdiff_t>(mNext) + 1,
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
      (name == "help" ? mResult.mWantsHelp : mResult.mWantsVersion) = true;
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
        setFromNext(found->second);
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

  void setFromNext(const Flag& aFlag)
  {
    if (mNext + 1 >= mArguments.size()) {
      mSeen.insert(aFlag.name);
      mResult.mErrors.push_back("--" + aFlag.name + ": expected a value");
      return;
    }
    ++mNext;
    set(aFlag, "--" + aFlag.name, mArguments[mNext]);
  }

  void set(const Flag& aFlag, const std::string& aSource, const std::string& aValue)
  {
    mSeen.insert(aFlag.name);
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
      if (value != nullptr && mSeen.count(name) == 0) {
        set(flag, variable, value);
      }
    }
  }

  const std::vector<std::string>& mArguments;
  const std::map<std::string, Flag> mFlags = ownFlags();
  std::set<std::string> mSeen;
  std::size_t mNext = 0;
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
  for (const auto& [name, flag] : ownFlags()) {
    const Description description = splitDescription(flag.description);
    groups[description.mGroup] += describeFlag(flag, description.mText);
  }
  std::string text = aUsage + "\n";
  for (const auto& [group, flags] : groups) {
    text.append("\n").append(group).append(":\n").append(flags);
  }
  return text + "\nGeneral:\n  --help     print this text and stop\n"
                "  --version  print the version and stop\n";
}

} // namespace cornelcross::base
