#include "tools/check/printable.hpp"
#include "tools/check/result.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cornelcross::tools::check {

namespace {

using Json = nlohmann::ordered_json;

Json toValue(const config::ConfigError& aError)
{
  return { { "path", printable(aError.mPath) }, { "expected", printable(aError.mExpected) } };
}

Json toValue(const Finding& aFinding)
{
  return { { "kind", toString(aFinding.mKind) },
           { "path", printable(aFinding.mPath) },
           { "detail", printable(aFinding.mDetail) } };
}

Json toValue(const Difference& aDifference)
{
  return { { "rank", aDifference.rank() },
           { "kind", toString(aDifference.mKind) },
           { "ends_flows", aDifference.mEndsFlows },
           { "path", printable(aDifference.mPath) },
           { "before", printable(aDifference.mBefore) },
           { "after", printable(aDifference.mAfter) } };
}

Json toValue(const UpstreamChange& aChange)
{
  return { { "service", printable(aChange.mService) },
           { "upstream", printable(aChange.mUpstream) },
           { "effect", toString(aChange.mEffect) },
           { "before", printable(aChange.mBefore) },
           { "after", printable(aChange.mAfter) } };
}

/// Shares by name of upstream; the empty name stands for flows without an upstream.
Json toValue(const std::map<std::string, double>& aShares)
{
  Json value = Json::object();
  for (const auto& [name, share] : aShares) {
    value[name.empty() ? "none" : printable(name)] = share;
  }
  return value;
}

Json toValue(const ServiceChange& aChange)
{
  return { { "service", printable(aChange.mService) },
           { "moved", aChange.mMovedShare },
           { "before", toValue(aChange.mSharesBefore) },
           { "after", toValue(aChange.mSharesAfter) } };
}

template<class Entry>
Json toArray(const std::vector<Entry>& aEntries, std::size_t aMaxSize = SIZE_MAX)
{
  Json array = Json::array();
  for (std::size_t i = 0; i < std::min(aEntries.size(), aMaxSize); ++i) {
    array.push_back(toValue(aEntries[i]));
  }
  return array;
}

Json toValue(const CheckedFile& aFile)
{
  const Report& report = aFile.mReport;
  Json value;
  value["file"] = printable(aFile.mFile);
  value["error_count"] = report.mErrors.size();
  value["warning_count"] = report.mWarnings.size();
  value["finding_count"] = report.mFindings.size();
  value["errors"] = toArray(report.mErrors, kMaxListed);
  value["warnings"] = toArray(report.mWarnings, kMaxListed);
  value["findings"] = toArray(report.mFindings, kMaxListed);
  return value;
}

} // namespace

std::string toJson(const Result& aResult)
{
  Json value;
  value["files"] = Json::array();
  for (const CheckedFile& file : aResult.mFiles) {
    value["files"].push_back(toValue(file));
  }
  if (aResult.mPreview) {
    value["differences"] = toArray(aResult.mDifferences);
    value["upstreams"] = toArray(aResult.mPreview->mUpstreams);
    value["new_flows"] = toArray(aResult.mPreview->mServices);
  }
  return value.dump(2) + "\n";
}

} // namespace cornelcross::tools::check
