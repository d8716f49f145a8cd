#pragma once

#include "wire/flow_ownership.hpp"

#include <compare>
#include <vector>

namespace cornelcross::wire {

/// @brief Reply to an OwnerLookup. The enclosing frame contains the active revision of the sender.
struct OwnerLookupReply
{
  std::uint32_t mRound = 0;               ///< value of the OwnerLookup
  std::vector<FlowOwnership> mOwnerships; ///< in the order of OwnerLookup::mFlows

  auto operator<=>(const OwnerLookupReply&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRound, mOwnerships);
  }
};

} // namespace cornelcross::wire
