#pragma once

#include "flow/flow_key.hpp"

#include <unordered_map>

namespace cornelcross::routing {

/// @brief Bounded cache of the agents that own flows. An entry is only a hint: it may be missing or
/// stale.
///
/// Two generations approximate LRU eviction: a lookup moves an entry to the recent generation. When
/// the recent generation is full, it replaces the previous generation, whose entries are evicted.
/// Every operation is O(1) amortized.
class OwnerCache
{
public:
  /// @param aCapacity maximum number of entries of each generation
  explicit OwnerCache(std::size_t aCapacity) : mCapacity(aCapacity) {}

  /// @brief Stores the owner of a flow.
  void store(const flow::FlowKey& aFlow, flow::Endpoint aOwner);

  /// @brief Cached owner of a flow; nullptr if there is none. The pointer is valid until the next
  /// non-const call. A hit makes the entry recent.
  const flow::Endpoint* find(const flow::FlowKey& aFlow);

  /// @brief Removes the entry of a flow.
  void erase(const flow::FlowKey& aFlow);

  /// @brief Number of entries of both generations.
  std::size_t size() const { return mRecent.size() + mPrevious.size(); }

private:
  using Generation = std::unordered_map<flow::FlowKey, flow::Endpoint, flow::FlowKeyHash>;

  std::size_t mCapacity;
  Generation mRecent;
  Generation mPrevious;
};

} // namespace cornelcross::routing
