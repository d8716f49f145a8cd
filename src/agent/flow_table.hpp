#pragma once

#include "agent/flow_record.hpp"
#include "flow/flow_key.hpp"

#include <functional>
#include <unordered_map>

namespace cornelcross::agent {

/// @brief The flows of one upstream.
class FlowTable
{
public:
  /// @brief Record of a flow; nullptr if there is none.
  FlowRecord* find(const flow::FlowKey& aFlow);

  /// @brief Adds or replaces a record.
  FlowRecord& insert(const flow::FlowKey& aFlow, const FlowRecord& aRecord);

  /// @brief Removes a record if there is one.
  void erase(const flow::FlowKey& aFlow);

  /// @brief Removes each record for which aIsExpired holds. @note O(n)
  void eraseIf(const std::function<bool(const flow::FlowKey&, FlowRecord&)>& aIsExpired);

  /// @brief Visits each record. @note O(n)
  void forEach(const std::function<void(const flow::FlowKey&, FlowRecord&)>& aVisit);

  /// @brief Records held.
  std::size_t size() const { return mRecords.size(); }

private:
  std::unordered_map<flow::FlowKey, FlowRecord, flow::FlowKeyHash> mRecords;
};

} // namespace cornelcross::agent
