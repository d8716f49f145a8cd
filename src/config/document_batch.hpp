#pragma once

#include "config/document.hpp"

#include <vector>

namespace cornelcross::config {

/// @brief Documents that changed after some revision, as the configuration service or a peer
/// answers.
struct DocumentBatch
{
  std::uint64_t mRevision = 0; ///< everything up to this revision has been seen
  std::vector<Document> mDocuments;
  bool mIsSnapshot = false; ///< what stands in no document here was removed up to mRevision

  auto operator<=>(const DocumentBatch&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRevision, mDocuments, mIsSnapshot);
  }
};

} // namespace cornelcross::config
