#pragma once

#include "flow/flow_key.hpp"

#include <unordered_map>

namespace cornelcross::routing {

/// @brief Bounded memory of which agent owns a flow. A hint only: it may be empty or wrong.
///
/// Two generations stand in for exact recency: an entry that is used moves to the young one, and
/// when that is full the old one is dropped. Every operation is O(1).
class OwnerCache
{
public:
  /// @param aCapacity entries per generation
  explicit OwnerCache(std::size_t aCapacity) : mCapacity(aCapacity) {}

  /// @brief Remembers the owner of a flow.
  void store(const flow::FlowKey& aFlow, flow::Endpoint aOwner);

  /// @brief Owner of a flow; nullptr if it isn't known.
  const flow::Endpoint* find(const flow::FlowKey& aFlow);

  /// @brief Forgets one flow.
  void erase(const flow::FlowKey& aFlow);

  /// @brief Entries held.
  std::size_t size() const { return mYoung.size() + mOld.size(); }

private:
  using Generation = std::unordered_map<flow::FlowKey, flow::Endpoint, flow::FlowKeyHash>;

  std::size_t mCapacity;
  Generation mYoung;
  Generation mOld;
};

} // namespace cornelcross::routing
