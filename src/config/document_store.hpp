#pragma once

#include "config/address_requests.hpp"
#include "config/config_error.hpp"
#include "config/configuration.hpp"
#include "config/document_batch.hpp"
#include "config/endpoint_index.hpp"

#include <set>
#include <variant>

namespace cornelcross::config {

/// @brief Parsed content of a document; empty for a tombstone.
using DocumentValue = std::variant<std::monostate,
                                   Service,
                                   AddressRoute,
                                   AddressRequests,
                                   std::vector<AvailabilityZone>,
                                   std::vector<Workspace>>;

/// @brief Stores the accepted documents of one process and builds the configuration from them.
///
/// For each key, the store keeps the accepted document of the highest revision, so that merging is
/// commutative and idempotent. Documents may arrive from the configuration service and from peers,
/// in any order and repeatedly, and no key reverts to an older revision. Consecutive configurations
/// share all parts that did not change.
///
/// The store also accepts and distributes a new revision whose text equals the accepted text: a
/// peer may have an intermediate revision with another text.
///
/// The store rejects a service that uses an endpoint of another accepted service. Documents are
/// merged in the order of their revisions, so that every process rejects the later of two
/// conflicting documents. The store retries a document that was rejected for a conflict whenever
/// another document changes.
class DocumentStore
{
public:
  /// @brief Merges documents from a sender that has all changes up to aRevision. A document with an
  /// error is rejected as a whole, and the accepted document of the same key remains active.
  /// @return all errors of aDocuments
  std::vector<ConfigError> merge(std::uint64_t aRevision, const std::vector<Document>& aDocuments);

  /// @brief Merges a batch. A snapshot also deletes the documents that it lacks.
  /// @return all errors of the batch
  std::vector<ConfigError> merge(const DocumentBatch& aBatch);

  /// @brief True if a batch that was requested at revision aStart arrives after its revision was
  /// reached otherwise. It may then contain documents that were deleted and have no tombstone here.
  bool isOvertaken(const DocumentBatch& aBatch, std::uint64_t aStart) const
  {
    return mRevision > aStart && aBatch.mRevision <= mRevision;
  }

  /// @brief Accepted documents with a revision above aRevision, including tombstones, oldest first;
  /// without the reader state.
  std::vector<Document> documentsAfter(std::uint64_t aRevision) const;

  /// @brief First part of documentsAfter(aRevision), limited to about aMaxBytes of keys and text.
  /// Documents of one revision are never split over two batches. The batch contains all changes up
  /// to its own revision. The batch is a snapshot if aRevision is not 0 and this store may lack
  /// deletions after aRevision, provided that a snapshot fits into aMaxBytes and no document is
  /// rejected.
  DocumentBatch batchAfter(std::uint64_t aRevision, std::size_t aMaxBytes) const;

  /// @brief Declares that documents may have been deleted, up to the current revision, that this
  /// store never had: their keys have no tombstones here.
  void setDeletionsUnknown() { mDeletionsKnownAfter = mRevision; }

  /// @brief Tombstones for the accepted documents that a snapshot lacks; empty if aBatch is not a
  /// snapshot. @note O(n log n)
  std::vector<Document> removalsImpliedBy(const DocumentBatch& aBatch) const;

  /// @brief Documents of aDocuments that merge() ignores as stale although their text differs from
  /// the accepted one.
  std::vector<Document> outdatedDocuments(const std::vector<Document>& aDocuments) const;

  /// @brief Accepted documents of the given keys, including tombstones. Keys without an accepted
  /// document are skipped.
  std::vector<Document> documentsForKeys(const std::vector<std::string>& aKeys) const;

  /// @brief Keys of accepted documents that begin with aPrefix. Keys of tombstones are skipped.
  std::vector<std::string> keysWithPrefix(const std::string& aPrefix) const;

  /// @brief Keys with a rejected document that is newer than the accepted document. A peer may have
  /// accepted a version that this process has never received.
  std::vector<std::string> rejectedKeys() const;

  /// @brief Revision up to which this store has received all changes.
  std::uint64_t revision() const { return mRevision; }

  /// @brief Configuration that the accepted documents declare; never nullptr.
  ConfigurationPtr configuration() const { return mConfiguration; }

private:
  /// Batch with the changes after aRevision; see batchAfter().
  DocumentBatch changesAfter(std::uint64_t aRevision, std::size_t aMaxBytes) const;

  /// Returns aNext. If aNext is nullptr, copies the current configuration into aNext first.
  Configuration& mutableNext(std::shared_ptr<Configuration>& aNext) const;

  /// Errors of rejected documents, by key.
  using ErrorsByKey = std::map<std::string, std::vector<ConfigError>>;

  /// Parses and stores a document and applies the value to aNext, or rejects the document. Returns
  /// false if the document is stale or rejected.
  bool accept(const Document& aDocument,
              std::shared_ptr<Configuration>& aNext,
              ErrorsByKey& aErrorsByKey);

  void reject(const Document& aDocument,
              std::vector<ConfigError> aErrors,
              ErrorsByKey& aErrorsByKey);

  /// Retries the documents that crossCheck() rejected. Returns true if one of them was accepted.
  bool retryConflicting(std::shared_ptr<Configuration>& aNext, ErrorsByKey& aErrorsByKey);

  /// Accepts the documents that crossCheck() rejected only because of the accepted versions of
  /// each other. Returns true if there are any.
  bool acceptTogether(std::shared_ptr<Configuration>& aNext, ErrorsByKey& aErrorsByKey);

  /// First of some service documents that conflicts with an earlier one or with an accepted service
  /// that none of them replaces.
  std::vector<Document>::const_iterator findConflict(const std::vector<Document>& aDocuments) const;

  /// Documents that crossCheck() rejected, oldest first.
  std::vector<Document> conflictingDocuments() const;

  void storeAccepted(const Document& aDocument);
  static void applyValue(const std::string& aKey, DocumentValue aValue, Configuration& aNext);
  static void removeValue(const std::string& aKey, Configuration& aNext);

  std::uint64_t mRevision = 0;
  std::uint64_t mDeletionsKnownAfter = 0; ///< earlier deletions may lack a tombstone
  std::map<std::string, Document> mAccepted;
  std::map<std::string, std::uint64_t> mRejected; ///< highest rejected revision by key
  std::map<std::string, Document> mConflicting;   ///< newest documents that crossCheck() rejected
  EndpointIndex mEndpoints;                       ///< endpoints of the accepted services
  std::set<std::pair<std::uint64_t, std::string>> mByRevision; ///< revisions and keys in mAccepted
  ConfigurationPtr mConfiguration = std::make_shared<const Configuration>();
};

} // namespace cornelcross::config
