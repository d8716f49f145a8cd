#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cornelcross::config {

/// @brief One version of a document of the configuration service, received from the service or from
/// a peer.
struct Document
{
  std::string mKey;                 ///< see document_key.hpp
  std::uint64_t mRevision = 0;      ///< of the configuration service; see revision.hpp
  std::optional<std::string> mText; ///< JSON; empty for a tombstone, which records a deletion

  auto operator<=>(const Document&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey, mRevision, mText);
  }
};

} // namespace cornelcross::config
