#pragma once

#include "config/upstream.hpp"

#include <vector>

namespace cornelcross::config {

/// @brief An upstream that was removed from the document of its service but may still own flows.
struct RemovedUpstream
{
  std::string mService;
  Upstream mUpstream;
  std::uint64_t mAgeMs = 0; ///< time since the removal

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

/// @brief A service that was removed from the document of an address but may still own flows to the
/// address.
struct RemovedShare
{
  flow::Endpoint mAddress;
  std::string mService;
  std::uint64_t mAgeMs = 0; ///< time since the removal

  auto operator<=>(const RemovedShare&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAddress, mService, mAgeMs);
  }
};

/// @brief Removed upstreams and removed services of addresses that a process retains in addition to
/// the accepted documents.
struct RetainedState
{
  bool mIsComplete = false; ///< true if every removed entry that may still own flows is listed
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
