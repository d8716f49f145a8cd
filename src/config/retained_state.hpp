#pragma once

#include "config/upstream.hpp"

#include <vector>

namespace cornelcross::config {

/// @brief An upstream that vanished from its service's document but may still hold flows.
struct RemovedUpstream
{
  std::string mService;
  Upstream mUpstream;
  std::uint64_t mAgeMs = 0; ///< since it vanished

  auto operator<=>(const RemovedUpstream&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService,
             mUpstream.mName,
             mUpstream.mAgent,
             mUpstream.mAddress,
             mUpstream.mZone,
             mUpstream.mSlots,
             mUpstream.mWeight,
             mAgeMs);
  }
};

/// @brief A service to which an address no longer leads, but which may still hold flows of it.
struct RemovedShare
{
  flow::Endpoint mAddress;
  std::string mService;
  std::uint64_t mAgeMs = 0; ///< since it vanished

  auto operator<=>(const RemovedShare&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAddress, mService, mAgeMs);
  }
};

/// @brief What a process remembers beyond the documents in force.
struct RetainedState
{
  bool mIsComplete = false; ///< nothing that may still hold flows is missing
  std::vector<RemovedUpstream> mUpstreams;
  std::vector<RemovedShare> mShares;

  auto operator<=>(const RetainedState&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIsComplete, mUpstreams, mShares);
  }
};

} // namespace cornelcross::config
