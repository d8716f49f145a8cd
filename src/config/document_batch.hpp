#pragma once

#include "config/document.hpp"

#include <vector>

namespace cornelcross::config {

/// @brief Documents that changed after a given revision, or a snapshot of all documents. The
/// configuration service and peers send batches as replies.
struct DocumentBatch
{
  std::uint64_t mRevision = 0; ///< the receiver has all changes up to this revision
  std::vector<Document> mDocuments;
  bool mIsSnapshot = false; ///< a key without a document here was deleted at mRevision or before

  auto operator<=>(const DocumentBatch&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRevision, mDocuments, mIsSnapshot);
  }
};

} // namespace cornelcross::config
