#include "tools/check/report.hpp"

#include "config/cross_check.hpp"
#include "config/document_key.hpp"
#include "config/document_store.hpp"
#include "tools/check/findings.hpp"

namespace cornelcross::tools::check {

namespace {

Report validateDocuments(const std::vector<config::Document>& aDocuments)
{
  config::DocumentStore store;
  Report report;
  report.mErrors = store.merge(1, aDocuments);
  report.mConfiguration = store.configuration();
  report.mWarnings = config::findUnlistedZones(*report.mConfiguration);
  for (const auto& [name, service] : report.mConfiguration->mServices) {
    if (service.mUpstreams.empty()) {
      report.mWarnings.push_back(
        { config::serviceKey(name) + ".upstreams", "at least one upstream" });
    }
  }
  report.mFindings = findInDocuments(*report.mConfiguration);
  return report;
}

} // namespace

Report validate(const std::vector<config::Document>& aDocuments)
{
  Report report = validateDocuments(aDocuments);
  // Without the rejected documents, those that refer to them would seem to lead nowhere.
  if (report.isValid()) {
    const std::vector<Finding> across = findAcrossDocuments(*report.mConfiguration);
    report.mFindings.insert(report.mFindings.end(), across.begin(), across.end());
  }
  return report;
}

Report validateText(const std::string& aFile, const std::string& aText, const std::string& aKey)
{
  if (!aKey.empty()) {
    return validateDocuments({ { aKey, 1, aText } });
  }
  const DocumentsOrErrors parsed = splitDocuments(aFile, aText);
  if (const auto* errors = std::get_if<std::vector<config::ConfigError>>(&parsed)) {
    return { std::make_shared<const config::Configuration>(), *errors, {} };
  }
  return validate(std::get<std::vector<config::Document>>(parsed));
}

} // namespace cornelcross::tools::check
