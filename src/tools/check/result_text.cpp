#include "tools/check/printable.hpp"
#include "tools/check/result.hpp"

#include <algorithm>

namespace cornelcross::tools::check {

namespace {

using config::ConfigError;

std::string lineOf(const ConfigError& aError)
{
  return printable(aError.mPath) + ": expected " + printable(aError.mExpected);
}

std::string lineOf(const Finding& aFinding)
{
  return std::string(toString(aFinding.mKind)) + " " + printable(aFinding.mPath) + ": " +
         printable(aFinding.mDetail);
}

template<class Entry>
void appendList(std::string& aText, const std::string& aPrefix, const std::vector<Entry>& aEntries)
{
  const std::size_t listed = std::min(aEntries.size(), kMaxListed);
  for (std::size_t i = 0; i < listed; ++i) {
    aText += aPrefix + lineOf(aEntries[i]) + "\n";
  }
  if (listed < aEntries.size()) {
    aText += aPrefix + std::to_string(aEntries.size() - listed) + " more\n";
  }
}

void appendFile(std::string& aText, const CheckedFile& aFile)
{
  const Report& report = aFile.mReport;
  const config::Configuration& configuration = *report.mConfiguration;
  const std::string file = printable(aFile.mFile);
  appendList(aText, file + ": error: ", report.mErrors);
  appendList(aText, file + ": warning: ", report.mWarnings);
  appendList(aText, file + ": finding: ", report.mFindings);
  std::size_t upstreams = 0;
  for (const auto& [name, service] : configuration.mServices) {
    upstreams += service.mUpstreams.size();
  }
  aText += "check file=" + file + " services=" + std::to_string(configuration.mServices.size()) +
           " upstreams=" + std::to_string(upstreams) +
           " zones=" + std::to_string(configuration.mZones.size()) +
           " workspaces=" + std::to_string(configuration.mWorkspaces.size()) +
           " addresses=" + std::to_string(configuration.mAddresses.size()) +
           " requests=" + std::to_string(configuration.mRequestClasses.size()) +
           " findings=" + std::to_string(report.mFindings.size()) +
           " errors=" + std::to_string(report.mErrors.size()) +
           " warnings=" + std::to_string(report.mWarnings.size()) + "\n";
}

} // namespace

std::string toText(const Result& aResult)
{
  std::string text;
  for (const CheckedFile& file : aResult.mFiles) {
    appendFile(text, file);
  }
  for (const Difference& difference : aResult.mDifferences) {
    text += "difference rank=" + std::to_string(difference.rank()) +
            " kind=" + std::string(toString(difference.mKind)) +
            " ends_flows=" + (difference.mEndsFlows ? "yes" : "no") +
            " path=" + printable(difference.mPath) + " before=\"" + printable(difference.mBefore) +
            "\" after=\"" + printable(difference.mAfter) + "\"\n";
  }
  const bool isPreviewPrinted =
    aResult.mPreview && (!aResult.mPreview->isEmpty() || aResult.mDifferences.empty());
  return isPreviewPrinted ? text + toText(*aResult.mPreview) : text;
}

} // namespace cornelcross::tools::check
