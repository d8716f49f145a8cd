#include "base/settings_validator.hpp"
#include "tools/check/differences.hpp"
#include "tools/check/result.hpp"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(key,
              "",
              "[Input] key of the only document in each file; if empty, a file is {KEY: VALUE}");
DEFINE_uint32(sample,
              16384,
              "[Preview] number of flows to rank for each service when estimating shares");
DEFINE_string(format, "text", "[Output] \"text\" or \"json\"");

namespace {

using namespace cornelcross;
using tools::check::Result;

constexpr int kExitFindings = 1;
constexpr std::uint32_t kMinSampledFlows = 100;
constexpr std::uint32_t kMaxSampledFlows = 1000000;

const std::string kUsage =
  "Validates documents of the configuration and previews a change.\n"
  "Usage: cornelcross-check [FLAG...] FILE        validates FILE (\"-\" is standard input)\n"
  "       cornelcross-check [FLAG...] OLD NEW     also previews the change from OLD to NEW\n"
  "Exit codes: 0 no findings, 1 findings or errors, 2 unreadable file or bad usage.";

/// Validates the files and compares two. Empty if a file cannot be read.
std::optional<Result> check(const std::vector<std::string>& aFiles)
{
  Result result;
  for (const std::string& file : aFiles) {
    const auto text = tools::check::readText(file);
    if (const auto* error = std::get_if<tools::check::FileError>(&text)) {
      std::cerr << "error: " << error->mReason << '\n';
      return std::nullopt;
    }
    result.mFiles.push_back(
      { file, tools::check::validateText(file, std::get<std::string>(text), FLAGS_key) });
  }
  if (result.mFiles.size() == 2 && result.mFiles[0].mReport.isValid() &&
      result.mFiles[1].mReport.isValid()) {
    const config::Configuration& before = *result.mFiles[0].mReport.mConfiguration;
    const config::Configuration& after = *result.mFiles[1].mReport.mConfiguration;
    result.mDifferences = tools::check::findDifferences(before, after);
    result.mPreview = tools::check::previewChange(before, after, FLAGS_sample);
  }
  return result;
}

int run(const std::vector<std::string>& aFiles)
{
  const auto result = check(aFiles);
  if (!result) {
    return base::kExitInvalidSettings;
  }
  std::cout << (FLAGS_format == "json" ? toJson(*result) : toText(*result));
  return result->hasFindings() ? kExitFindings : 0;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  base::SettingsValidator validator(base::parseSettings(&aArgc, &aArgv, kUsage));
  const std::vector<std::string> files(aArgv + 1, aArgv + aArgc);
  validator.requireRange("sample", FLAGS_sample, kMinSampledFlows, kMaxSampledFlows);
  validator.require(FLAGS_format == "text" || FLAGS_format == "json",
                    "--format: expected \"text\" or \"json\"");
  validator.require(files.size() == 1 || files.size() == 2, "expected one or two files");
  validator.require(files.size() != 2 || files[0] != "-" || files[1] != "-",
                    "expected \"-\" at most once");
  if (validator.printErrors()) {
    return base::kExitInvalidSettings;
  }
  return run(files);
}
