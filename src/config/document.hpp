#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cornelcross::config {

/// @brief One key of the configuration service as read from it or from a peer.
struct Document
{
  std::string mKey;                 ///< "service/NAME", "address/ADDRESS", "zones" or "workspaces"
  std::uint64_t mRevision = 0;      ///< revision of the service at which the key was last written
  std::optional<std::string> mText; ///< JSON; empty once the key was deleted

  auto operator<=>(const Document&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey, mRevision, mText);
  }
};

} // namespace cornelcross::config
