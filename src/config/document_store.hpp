#pragma once

#include "config/config_error.hpp"
#include "config/configuration.hpp"
#include "config/document.hpp"
#include "config/endpoint_index.hpp"

#include <variant>

namespace cornelcross::config {

/// @brief Parsed content of a document; empty for a tombstone.
using DocumentValue =
  std::variant<std::monostate, Service, std::vector<AvailabilityZone>, std::vector<Workspace>>;

/// @brief The accepted documents of one process and the configuration that they give.
///
/// Each key keeps the highest revision that was accepted, so that merging is commutative and
/// idempotent: documents may arrive from the configuration service and from peers, in any order
/// and more than once, and no key ever reverts.
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

  /// @brief Accepted documents with a revision above aRevision, tombstones included.
  std::vector<Document> documentsAfter(std::uint64_t aRevision) const;

  /// @brief Highest revision up to which everything was seen.
  std::uint64_t revision() const { return mRevision; }

  /// @brief What is in force.
  ConfigurationPtr configuration() const { return mConfiguration; }

private:
  struct Accepted
  {
    Document mDocument;
    DocumentValue mValue;
  };

  bool accept(const Document& aDocument, std::vector<ConfigError>& aErrors);
  bool retryConflicting();
  void rebuild();

  std::uint64_t mRevision = 0;
  std::map<std::string, Accepted> mAccepted;
  std::map<std::string, Document> mConflicting; ///< newest documents that crossCheck() rejected
  EndpointIndex mEndpoints;                     ///< of the accepted services
  ConfigurationPtr mConfiguration = std::make_shared<const Configuration>();
};

} // namespace cornelcross::config
