#include "config/document_store.hpp"

#include "base/safety_mechanisms.hpp"
#include "config/cross_check.hpp"
#include "config/document_key.hpp"
#include "config/parse.hpp"
#include "config/revision.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace cornelcross::config {

namespace {

bool isServiceKey(const std::string& aKey)
{
  return aKey.starts_with(kServicePrefix) && aKey.size() > kServicePrefix.size();
}

std::string serviceNameFromKey(const std::string& aKey)
{
  return aKey.substr(kServicePrefix.size());
}

bool isAddressKey(const std::string& aKey)
{
  return aKey.starts_with(kAddressPrefix);
}

std::string addressFromKey(const std::string& aKey)
{
  return aKey.substr(kAddressPrefix.size());
}

bool isRequestsKey(const std::string& aKey)
{
  return aKey.starts_with(kRequestsPrefix);
}

std::string addressFromRequestsKey(const std::string& aKey)
{
  return aKey.substr(kRequestsPrefix.size());
}

bool isKnownKey(const std::string& aKey)
{
  return isServiceKey(aKey) || isAddressKey(aKey) || isRequestsKey(aKey) || aKey == kZonesKey ||
         aKey == kWorkspacesKey;
}

bool isOlder(const Document& aLeft, const Document& aRight)
{
  return aLeft.mRevision != aRight.mRevision ? aLeft.mRevision < aRight.mRevision
                                             : aLeft.mKey < aRight.mKey;
}

// An address and its requests are as the operators wrote them, in whichever epoch a reader received
// them. All else depends on what its reader held, and the later epoch decides.
bool supersedes(const Document& aDocument, const Document& aAccepted)
{
  const bool isOperatorsText = isAddressKey(aDocument.mKey) || isRequestsKey(aDocument.mKey);
  return isOperatorsText ? isWrittenBefore(aAccepted.mRevision, aDocument.mRevision)
                         : aAccepted.mRevision < aDocument.mRevision;
}

template<class T>
ParseResult<DocumentValue> toDocumentValue(ParseResult<T> aParsed)
{
  if (auto* errors = std::get_if<std::vector<ConfigError>>(&aParsed)) {
    return std::move(*errors);
  }
  return DocumentValue{ std::get<T>(std::move(aParsed)) };
}

ParseResult<DocumentValue> parseDocument(const Document& aDocument)
{
  const std::string& key = aDocument.mKey;
  if (key == kReaderStateKey) {
    return DocumentValue{};
  }
  if (!isKnownKey(key)) {
    return std::vector<ConfigError>{ { key,
                                       "a key \"service/NAME\", \"address/ADDRESS\", "
                                       "\"requests/ADDRESS\", \"zones\" or \"workspaces\"" } };
  }
  if (!aDocument.mText) {
    return DocumentValue{};
  }
  if (key == kZonesKey) {
    return toDocumentValue(parseZones(*aDocument.mText));
  }
  if (key == kWorkspacesKey) {
    return toDocumentValue(parseWorkspaces(*aDocument.mText));
  }
  if (isAddressKey(key)) {
    return toDocumentValue(parseAddress(addressFromKey(key), *aDocument.mText));
  }
  if (isRequestsKey(key)) {
    return toDocumentValue(parseRequests(addressFromRequestsKey(key), *aDocument.mText));
  }
  return toDocumentValue(parseService(serviceNameFromKey(key), *aDocument.mText));
}

} // namespace

std::vector<ConfigError> DocumentStore::merge(std::uint64_t aRevision,
                                              const std::vector<Document>& aDocuments)
{
  ErrorsByKey errorsByKey;
  std::vector<Document> documents = aDocuments;
  std::sort(documents.begin(), documents.end(), isOlder);
  std::shared_ptr<Configuration> next;
  bool hasAccepted = false;
  for (const Document& document : documents) {
    hasAccepted = accept(document, next, errorsByKey) || hasAccepted;
  }
  while ((hasAccepted && retryConflicting(next, errorsByKey)) ||
         (!documents.empty() && acceptTogether(next, errorsByKey))) {
    hasAccepted = true;
  }
  mDeletionsKnownAfter = mDeletionsKnownAfter == 0 ? aRevision : mDeletionsKnownAfter;
  const bool isRevert = aRevision < mRevision && !base::safetyMechanisms().mRejectStaleRevisions;
  if (aRevision > mRevision || isRevert) {
    mRevision = aRevision;
    mutableNext(next);
  }
  if (next) {
    next->mRevision = mRevision;
    mConfiguration = std::move(next);
  }
  // errorsByKey no longer contains a document whose conflict this merge resolved: the retry has
  // accepted the document.
  std::vector<ConfigError> errors;
  for (const Document& document : documents) {
    const auto found = errorsByKey.find(document.mKey);
    if (found != errorsByKey.end()) {
      errors.insert(errors.end(), found->second.begin(), found->second.end());
      errorsByKey.erase(found);
    }
  }
  return errors;
}

std::vector<ConfigError> DocumentStore::merge(const DocumentBatch& aBatch)
{
  if (!aBatch.mIsSnapshot) {
    return merge(aBatch.mRevision, aBatch.mDocuments);
  }
  std::vector<Document> documents = removalsImpliedBy(aBatch);
  documents.insert(documents.end(), aBatch.mDocuments.begin(), aBatch.mDocuments.end());
  mDeletionsKnownAfter = std::max(mDeletionsKnownAfter, aBatch.mRevision);
  return merge(aBatch.mRevision, documents);
}

Configuration& DocumentStore::mutableNext(std::shared_ptr<Configuration>& aNext) const
{
  if (!aNext) {
    aNext = std::make_shared<Configuration>(*mConfiguration);
  }
  return *aNext;
}

bool DocumentStore::retryConflicting(std::shared_ptr<Configuration>& aNext,
                                     ErrorsByKey& aErrorsByKey)
{
  const std::vector<Document> documents = conflictingDocuments();
  mConflicting.clear();
  bool hasAccepted = false;
  for (const Document& document : documents) {
    // An earlier call of accept() has reported the errors of this document already.
    ErrorsByKey reported;
    if (accept(document, aNext, reported)) {
      aErrorsByKey.erase(document.mKey);
      hasAccepted = true;
    }
  }
  return hasAccepted;
}

// Services may exchange endpoints: each document then conflicts with the accepted version of the
// other one.
bool DocumentStore::acceptTogether(std::shared_ptr<Configuration>& aNext, ErrorsByKey& aErrorsByKey)
{
  std::vector<Document> documents = conflictingDocuments();
  while (documents.size() > 1) {
    const auto conflicting = findConflict(documents);
    if (conflicting != documents.end()) {
      documents.erase(conflicting);
      continue;
    }
    for (const Document& document : documents) {
      mEndpoints.erase(serviceNameFromKey(document.mKey));
    }
    for (const Document& document : documents) {
      aErrorsByKey.erase(document.mKey);
      accept(document, aNext, aErrorsByKey);
    }
    return true;
  }
  return false;
}

std::vector<Document>::const_iterator DocumentStore::findConflict(
  const std::vector<Document>& aDocuments) const
{
  EndpointIndex endpoints = mEndpoints;
  for (const Document& document : aDocuments) {
    endpoints.erase(serviceNameFromKey(document.mKey));
  }
  return std::find_if(aDocuments.begin(), aDocuments.end(), [&](const Document& aDocument) {
    const auto parsed = parseService(serviceNameFromKey(aDocument.mKey), *aDocument.mText);
    const auto& service = std::get<Service>(parsed);
    const bool hasConflict = !crossCheck(service, endpoints).empty();
    endpoints.store(service);
    return hasConflict;
  });
}

std::vector<Document> DocumentStore::conflictingDocuments() const
{
  std::vector<Document> documents;
  for (const auto& [key, document] : mConflicting) {
    documents.push_back(document);
  }
  std::sort(documents.begin(), documents.end(), isOlder);
  return documents;
}

bool DocumentStore::accept(const Document& aDocument,
                           std::shared_ptr<Configuration>& aNext,
                           ErrorsByKey& aErrorsByKey)
{
  const auto found = mAccepted.find(aDocument.mKey);
  const bool isStale = found != mAccepted.end() && !supersedes(aDocument, found->second);
  if (isStale && base::safetyMechanisms().mRejectStaleRevisions) {
    return false;
  }
  ParseResult<DocumentValue> parsed = parseDocument(aDocument);
  if (const auto* errors = std::get_if<std::vector<ConfigError>>(&parsed)) {
    reject(aDocument, *errors, aErrorsByKey);
    return false;
  }
  auto& value = std::get<DocumentValue>(parsed);
  if (const auto* service = std::get_if<Service>(&value)) {
    const std::vector<ConfigError> errors = crossCheck(*service, mEndpoints);
    if (!errors.empty()) {
      reject(aDocument, errors, aErrorsByKey);
      mConflicting.insert_or_assign(aDocument.mKey, aDocument);
      return false;
    }
    mEndpoints.store(*service);
  } else if (isServiceKey(aDocument.mKey)) {
    mEndpoints.erase(serviceNameFromKey(aDocument.mKey));
  }
  mConflicting.erase(aDocument.mKey);
  storeAccepted(aDocument);
  applyValue(aDocument.mKey, std::move(value), mutableNext(aNext));
  return true;
}

void DocumentStore::reject(const Document& aDocument,
                           std::vector<ConfigError> aErrors,
                           ErrorsByKey& aErrorsByKey)
{
  aErrorsByKey[aDocument.mKey] = std::move(aErrors);
  std::uint64_t& rejected = mRejected[aDocument.mKey];
  rejected = std::max(rejected, aDocument.mRevision);
}

std::vector<Document> DocumentStore::documentsAfter(std::uint64_t aRevision) const
{
  return changesAfter(aRevision, SIZE_MAX).mDocuments;
}

// Changes alone do not suffice for a receiver that may have documents whose deletion this store
// does not know; it needs a snapshot. A store with
// rejected documents sends no snapshot: the snapshot would lack the rejected documents, and the
// receiver would delete them.
DocumentBatch DocumentStore::batchAfter(std::uint64_t aRevision, std::size_t aMaxBytes) const
{
  if (aRevision > 0 && aRevision < mDeletionsKnownAfter && mRejected.empty()) {
    DocumentBatch snapshot = changesAfter(0, aMaxBytes);
    if (snapshot.mRevision == mRevision) {
      snapshot.mIsSnapshot = true;
      return snapshot;
    }
  }
  return changesAfter(aRevision, aMaxBytes);
}

std::vector<Document> DocumentStore::removalsImpliedBy(const DocumentBatch& aBatch) const
{
  std::vector<Document> removals;
  if (!aBatch.mIsSnapshot) {
    return removals;
  }
  std::set<std::string> listed;
  for (const Document& document : aBatch.mDocuments) {
    if (document.mText) {
      listed.insert(document.mKey);
    }
  }
  for (const auto& [key, document] : mAccepted) {
    const Document removal{ key, aBatch.mRevision, std::nullopt };
    const bool mayBeDeleted =
      document.mText && (document.mRevision == removal.mRevision || supersedes(removal, document));
    if (mayBeDeleted && !listed.contains(key) && key != kReaderStateKey) {
      removals.push_back(removal);
    }
  }
  return removals;
}

DocumentBatch DocumentStore::changesAfter(std::uint64_t aRevision, std::size_t aMaxBytes) const
{
  DocumentBatch batch{ mRevision, {} };
  std::size_t bytes = 0;
  std::uint64_t last = aRevision;
  for (auto it = mByRevision.lower_bound({ aRevision + 1, "" }); it != mByRevision.end(); ++it) {
    if (bytes >= aMaxBytes && it->first != last) {
      batch.mRevision = last;
      return batch;
    }
    const Document& document = mAccepted.at(it->second);
    if (document.mKey == kReaderStateKey) {
      continue;
    }
    bytes += document.mKey.size() + document.mText.value_or("").size();
    last = document.mRevision;
    batch.mDocuments.push_back(document);
  }
  return batch;
}

std::vector<Document> DocumentStore::documentsForKeys(const std::vector<std::string>& aKeys) const
{
  std::vector<Document> documents;
  for (const std::string& key : aKeys) {
    const auto found = mAccepted.find(key);
    if (found != mAccepted.end()) {
      documents.push_back(found->second);
    }
  }
  return documents;
}

std::vector<Document> DocumentStore::outdatedDocuments(
  const std::vector<Document>& aDocuments) const
{
  std::vector<Document> outdated;
  for (const Document& document : aDocuments) {
    const auto found = mAccepted.find(document.mKey);
    if (found != mAccepted.end() && !supersedes(document, found->second) &&
        found->second.mText != document.mText) {
      outdated.push_back(document);
    }
  }
  return outdated;
}

std::vector<std::string> DocumentStore::keysWithPrefix(const std::string& aPrefix) const
{
  std::vector<std::string> keys;
  for (auto it = mAccepted.lower_bound(aPrefix);
       it != mAccepted.end() && it->first.starts_with(aPrefix);
       ++it) {
    if (it->second.mText) {
      keys.push_back(it->first);
    }
  }
  return keys;
}

std::vector<std::string> DocumentStore::rejectedKeys() const
{
  std::vector<std::string> keys;
  for (const auto& [key, revision] : mRejected) {
    keys.push_back(key);
  }
  return keys;
}

void DocumentStore::storeAccepted(const Document& aDocument)
{
  const std::string& key = aDocument.mKey;
  Document& accepted = mAccepted[key];
  mByRevision.erase({ accepted.mRevision, key });
  mByRevision.emplace(aDocument.mRevision, key);
  accepted = aDocument;
  const auto rejected = mRejected.find(key);
  if (rejected != mRejected.end() && rejected->second <= aDocument.mRevision) {
    mRejected.erase(rejected);
  }
}

void DocumentStore::applyValue(const std::string& aKey, DocumentValue aValue, Configuration& aNext)
{
  if (auto* service = std::get_if<Service>(&aValue)) {
    aNext.mServices.insert_or_assign(serviceNameFromKey(aKey), std::move(*service));
  } else if (auto* route = std::get_if<AddressRoute>(&aValue)) {
    aNext.mAddresses.insert_or_assign(route->mAddress, std::move(*route));
  } else if (const auto* requests = std::get_if<AddressRequests>(&aValue)) {
    aNext.mRequestClasses.insert_or_assign(requests->mAddress, requests->mClass);
  } else if (auto* zones = std::get_if<std::vector<AvailabilityZone>>(&aValue)) {
    aNext.mZones.clear();
    for (const AvailabilityZone& zone : *zones) {
      aNext.mZones.emplace(zone.mName, zone);
    }
  } else if (auto* workspaces = std::get_if<std::vector<Workspace>>(&aValue)) {
    aNext.mWorkspaces = std::move(*workspaces);
  } else {
    removeValue(aKey, aNext);
  }
}

void DocumentStore::removeValue(const std::string& aKey, Configuration& aNext)
{
  if (aKey == kReaderStateKey) {
    return;
  }
  if (aKey == kZonesKey) {
    aNext.mZones.clear();
  } else if (aKey == kWorkspacesKey) {
    aNext.mWorkspaces.clear();
  } else if (isAddressKey(aKey)) {
    if (const auto address = flow::Endpoint::parse(addressFromKey(aKey))) {
      aNext.mAddresses.erase(*address);
    }
  } else if (isRequestsKey(aKey)) {
    if (const auto address = flow::Endpoint::parse(addressFromRequestsKey(aKey))) {
      aNext.mRequestClasses.erase(*address);
    }
  } else {
    aNext.mServices.erase(serviceNameFromKey(aKey));
  }
}

} // namespace cornelcross::config
