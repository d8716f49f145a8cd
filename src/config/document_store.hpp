#pragma once

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
                                   std::vector<AvailabilityZone>,
                                   std::vector<Workspace>>;

/// @brief The accepted documents of one process and the configuration that they give.
///
/// Each key keeps the highest revision that was accepted, so that merging is commutative and
/// idempotent: documents may arrive from the configuration service and from peers, in any order
/// and more than once, and no key ever reverts. A configuration shares with the one before it
/// whatever did not change.
///
/// A document that repeats the accepted text is passed on like any other: a peer may hold one with
/// another text from in between.
///
/// A service that uses an endpoint of another accepted service is rejected too. Documents are
/// taken in the order of their revisions, so that the later one loses on every process, and such a
/// rejected document is tried again whenever another one changes.
class DocumentStore
{
public:
  /// @brief Merges aDocuments, of which the sender has seen everything up to aRevision.
  /// A faulty document is rejected whole and the accepted one stays in force.
  /// @return every fault found
  std::vector<ConfigError> merge(std::uint64_t aRevision, const std::vector<Document>& aDocuments);

  /// @brief The same with a batch; what a whole one lacks is removed.
  std::vector<ConfigError> merge(const DocumentBatch& aBatch);

  /// @brief Accepted documents with a revision above aRevision, tombstones included.
  std::vector<Document> documentsAfter(std::uint64_t aRevision) const;

  /// @brief Part of documentsAfter(aRevision), oldest first, of about aMaxBytes of text; documents
  /// of one revision are never parted. Everything up to the batch's revision is in it.
  DocumentBatch batchAfter(std::uint64_t aRevision, std::size_t aMaxBytes) const;

  /// @brief What this store has to remove since a whole batch lacks it.
  std::vector<Document> removalsImpliedBy(const DocumentBatch& aBatch) const;

  /// @brief Accepted documents of these keys; a key without one is left out.
  std::vector<Document> documentsForKeys(const std::vector<std::string>& aKeys) const;

  /// @brief Keys that begin with aPrefix and have an accepted document; deleted ones are left out.
  std::vector<std::string> keysWithPrefix(const std::string& aPrefix) const;

  /// @brief Keys of which a document was rejected that is newer than the accepted one. A peer may
  /// hold an accepted version that this process has never seen.
  std::vector<std::string> rejectedKeys() const;

  /// @brief Highest revision up to which everything was seen.
  std::uint64_t revision() const { return mRevision; }

  /// @brief What is in force.
  ConfigurationPtr configuration() const { return mConfiguration; }

private:
  DocumentBatch changesAfter(std::uint64_t aRevision, std::size_t aMaxBytes) const;
  Configuration& editable(std::shared_ptr<Configuration>& aNext) const;
  /// Faults of rejected documents, by key.
  using Faults = std::map<std::string, std::vector<ConfigError>>;

  bool accept(const Document& aDocument, std::shared_ptr<Configuration>& aNext, Faults& aFaults);
  void reject(const Document& aDocument, std::vector<ConfigError> aErrors, Faults& aFaults);
  bool retryConflicting(std::shared_ptr<Configuration>& aNext, Faults& aFaults);
  void keep(const Document& aDocument);
  static void apply(const std::string& aKey, DocumentValue aValue, Configuration& aNext);
  static void remove(const std::string& aKey, Configuration& aNext);

  std::uint64_t mRevision = 0;
  std::uint64_t mFirst = 0; ///< revision of the first merge; removals before it are unknown here
  std::map<std::string, Document> mAccepted;
  std::map<std::string, std::uint64_t> mRejected;
  std::map<std::string, Document> mConflicting; ///< newest documents that crossCheck() rejected
  EndpointIndex mEndpoints;                     ///< of the accepted services
  std::set<std::pair<std::uint64_t, std::string>> mByRevision;
  ConfigurationPtr mConfiguration = std::make_shared<const Configuration>();
};

} // namespace cornelcross::config
