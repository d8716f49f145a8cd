#include "base/settings_validator.hpp"
#include "tools/check/preview.hpp"
#include "tools/check/report.hpp"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(key,
              "",
              "[Input] key of the only document in each file; if empty, a file is {KEY: VALUE}");
DEFINE_uint32(sample,
              16384,
              "[Preview] number of flows to rank for each service when estimating shares");

namespace {

using namespace cornelcross;
using tools::check::Report;

constexpr int kExitInvalidDocuments = 1;
constexpr std::uint32_t kMinSampledFlows = 100;
constexpr std::uint32_t kMaxSampledFlows = 1000000;

const std::string kUsage =
  "Validates documents of the configuration and previews a change.\n"
  "Usage: cornelcross-check [FLAG...] FILE        validates FILE (\"-\" is standard input)\n"
  "       cornelcross-check [FLAG...] OLD NEW     also previews the change from OLD to NEW\n"
  "Exit codes: 0 valid, 1 a document has errors, 2 bad usage.";

/// Validates a file and prints the result. Empty if the file cannot be read.
std::optional<Report> checkFile(const std::string& aFile)
{
  const auto text = tools::check::readText(aFile);
  if (const auto* error = std::get_if<tools::check::FileError>(&text)) {
    std::cerr << "error: " << error->mReason << '\n';
    return std::nullopt;
  }
  Report report = tools::check::validateText(aFile, std::get<std::string>(text), FLAGS_key);
  for (const auto& error : report.mErrors) {
    std::cout << aFile << ": error: " << error.toString() << '\n';
  }
  for (const auto& warning : report.mWarnings) {
    std::cout << aFile << ": warning: " << warning.toString() << '\n';
  }
  std::size_t upstreams = 0;
  for (const auto& [name, service] : report.mConfiguration->mServices) {
    upstreams += service.mUpstreams.size();
  }
  std::cout << "check file=" << aFile << " services=" << report.mConfiguration->mServices.size()
            << " upstreams=" << upstreams << " zones=" << report.mConfiguration->mZones.size()
            << " workspaces=" << report.mConfiguration->mWorkspaces.size()
            << " errors=" << report.mErrors.size() << " warnings=" << report.mWarnings.size()
            << '\n';
  return report;
}

int run(const std::vector<std::string>& aFiles)
{
  std::vector<Report> reports;
  for (const std::string& file : aFiles) {
    const auto report = checkFile(file);
    if (!report) {
      return base::kExitInvalidSettings;
    }
    reports.push_back(*report);
  }
  for (const Report& report : reports) {
    if (!report.isValid()) {
      return kExitInvalidDocuments;
    }
  }
  if (reports.size() == 2) {
    std::cout << toText(tools::check::previewChange(
      *reports[0].mConfiguration, *reports[1].mConfiguration, FLAGS_sample));
  }
  return 0;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  base::SettingsValidator validator(base::parseSettings(&aArgc, &aArgv, kUsage));
  const std::vector<std::string> files(aArgv + 1, aArgv + aArgc);
  validator.requireRange("sample", FLAGS_sample, kMinSampledFlows, kMaxSampledFlows);
  validator.require(files.size() == 1 || files.size() == 2, "expected one or two files");
  validator.require(files.size() != 2 || files[0] != "-" || files[1] != "-",
                    "expected \"-\" at most once");
  if (validator.printErrors()) {
    return base::kExitInvalidSettings;
  }
  return run(files);
}
