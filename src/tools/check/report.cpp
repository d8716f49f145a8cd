#include "tools/check/report.hpp"

#include "config/cross_check.hpp"
#include "config/document_key.hpp"
#include "config/document_store.hpp"

namespace cornelcross::tools::check {

Report validate(const std::vector<config::Document>& aDocuments)
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
  return report;
}

Report validateText(const std::string& aFile, const std::string& aText, const std::string& aKey)
{
  if (!aKey.empty()) {
    return validate({ { aKey, 1, aText } });
  }
  const DocumentsOrErrors parsed = splitDocuments(aFile, aText);
  if (const auto* errors = std::get_if<std::vector<config::ConfigError>>(&parsed)) {
    return { std::make_shared<const config::Configuration>(), *errors, {} };
  }
  return validate(std::get<std::vector<config::Document>>(parsed));
}

} // namespace cornelcross::tools::check
