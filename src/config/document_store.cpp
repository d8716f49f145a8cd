#include "config/document_store.hpp"

#include "config/cross_check.hpp"
#include "config/parse.hpp"

#include <algorithm>
#include <utility>

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

bool isOlder(const Document& aLeft, const Document& aRight)
{
  return aLeft.mRevision != aRight.mRevision ? aLeft.mRevision < aRight.mRevision
                                             : aLeft.mKey < aRight.mKey;
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
  std::vector<Document> documents = aDocuments;
  std::sort(documents.begin(), documents.end(), isOlder);
  bool accepted = false;
  for (const Document& document : documents) {
    accepted = accept(document, errors) || accepted;
  }
  while (accepted) {
    changed = true;
    accepted = retryConflicting();
  }
  mRevision = std::max(mRevision, aRevision);
  if (changed) {
    rebuild();
  }
  return errors;
}

bool DocumentStore::retryConflicting()
{
  std::vector<Document> documents;
  for (const auto& [key, document] : std::exchange(mConflicting, {})) {
    documents.push_back(document);
  }
  std::sort(documents.begin(), documents.end(), isOlder);
  std::vector<ConfigError> alreadyReported;
  bool accepted = false;
  for (const Document& document : documents) {
    accepted = accept(document, alreadyReported) || accepted;
  }
  return accepted;
}

bool DocumentStore::accept(const Document& aDocument, std::vector<ConfigError>& aErrors)
{
  const auto found = mAccepted.find(aDocument.mKey);
  if (found != mAccepted.end() && found->second.mDocument.mRevision >= aDocument.mRevision) {
    return false;
  }
  Parsed<DocumentValue> parsed = parseDocument(aDocument);
  if (const auto* faults = std::get_if<std::vector<ConfigError>>(&parsed)) {
    aErrors.insert(aErrors.end(), faults->begin(), faults->end());
    return false;
  }
  auto& value = std::get<DocumentValue>(parsed);
  if (const auto* service = std::get_if<Service>(&value)) {
    const std::vector<ConfigError> faults = crossCheck(*service, mEndpoints);
    if (!faults.empty()) {
      aErrors.insert(aErrors.end(), faults.begin(), faults.end());
      mConflicting.insert_or_assign(aDocument.mKey, aDocument);
      return false;
    }
    mEndpoints.store(*service);
  } else if (isServiceKey(aDocument.mKey)) {
    mEndpoints.erase(serviceName(aDocument.mKey));
  }
  mConflicting.erase(aDocument.mKey);
  mAccepted[aDocument.mKey] = { aDocument, std::move(value) };
  return true;
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
