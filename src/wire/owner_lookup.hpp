#pragma once

#include "flow/flow_key.hpp"

#include <vector>

namespace cornelcross::wire {

/// @brief Maximum number of flows in an OwnerLookup.
inline constexpr std::size_t kMaxLookupFlows = 64;

/// @brief Asks an agent which of several flows its upstream owns.
struct OwnerLookup
{
  std::uint32_t mRound = 0; ///< the reply repeats the value
  std::vector<flow::FlowKey> mFlows;

  auto operator<=>(const OwnerLookup&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRound, mFlows);
  }
};

} // namespace cornelcross::wire
