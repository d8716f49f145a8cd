#include "config/document_store.hpp"

#include "base/mechanisms.hpp"
#include "config/parse.hpp"

#include <algorithm>

namespace cornelcross::config {

namespace {

constexpr std::string_view kServicePrefix = "service/";
constexpr std::string_view kZonesKey = "zones";
constexpr std::string_view kWorkspacesKey = "workspaces";

bool isServiceKey(const std::string& aKey)
{
  return aKey.starts_with(kServicePrefix) && aKey.size() > kServicePrefix.size();
}

std::string serviceName(const std::string& aKey)
{
  return aKey.substr(kServicePrefix.size());
}

template<class T>
Parsed<DocumentValue> widen(Parsed<T> aParsed)
{
  if (auto* errors = std::get_if<std::vector<ConfigError>>(&aParsed)) {
    return std::move(*errors);
  }
  return DocumentValue{ std::get<T>(std::move(aParsed)) };
}

Parsed<DocumentValue> parseDocument(const Document& aDocument)
{
  const std::string& key = aDocument.mKey;
  if (!isServiceKey(key) && key != kZonesKey && key != kWorkspacesKey) {
    return std::vector<ConfigError>{ { key,
                                       "a key \"service/NAME\", \"zones\" or \"workspaces\"" } };
  }
  if (!aDocument.mText) {
    return DocumentValue{};
  }
  if (key == kZonesKey) {
    return widen(parseZones(*aDocument.mText));
  }
  if (key == kWorkspacesKey) {
    return widen(parseWorkspaces(*aDocument.mText));
  }
  return widen(parseService(serviceName(key), *aDocument.mText));
}

} // namespace

std::vector<ConfigError> DocumentStore::merge(std::uint64_t aRevision,
                                              const std::vector<Document>& aDocuments)
{
  std::vector<ConfigError> errors;
  bool changed = aRevision > mRevision;
  for (const Document& document : aDocuments) {
    const auto found = mAccepted.find(document.mKey);
    const bool isOlder =
      found != mAccepted.end() && found->second.mDocument.mRevision >= document.mRevision;
    if (isOlder && base::mechanisms().mKeepRevisions) {
      continue;
    }
    Parsed<DocumentValue> parsed = parseDocument(document);
    if (const auto* faults = std::get_if<std::vector<ConfigError>>(&parsed)) {
      errors.insert(errors.end(), faults->begin(), faults->end());
      continue;
    }
    mAccepted[document.mKey] = { document, std::get<DocumentValue>(std::move(parsed)) };
    changed = true;
  }
  mRevision = std::max(mRevision, aRevision);
  if (changed) {
    rebuild();
  }
  return errors;
}

std::vector<Document> DocumentStore::documentsAfter(std::uint64_t aRevision) const
{
  std::vector<Document> documents;
  for (const auto& [key, accepted] : mAccepted) {
    if (accepted.mDocument.mRevision > aRevision) {
      documents.push_back(accepted.mDocument);
    }
  }
  return documents;
}

void DocumentStore::rebuild()
{
  auto next = std::make_shared<Configuration>();
  next->mRevision = mRevision;
  for (const auto& [key, accepted] : mAccepted) {
    if (const auto* service = std::get_if<Service>(&accepted.mValue)) {
      next->mServices.emplace(service->mName, *service);
    } else if (const auto* zones = std::get_if<std::vector<AvailabilityZone>>(&accepted.mValue)) {
      for (const AvailabilityZone& zone : *zones) {
        next->mZones.emplace(zone.mName, zone);
      }
    } else if (const auto* workspaces = std::get_if<std::vector<Workspace>>(&accepted.mValue)) {
      next->mWorkspaces = *workspaces;
    }
  }
  mConfiguration = std::move(next);
}

} // namespace cornelcross::config
