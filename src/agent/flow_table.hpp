#pragma once

#include "agent/flow_record.hpp"
#include "flow/flow_key.hpp"

#include <functional>
#include <unordered_map>

namespace cornelcross::agent {

/// @brief Records of the flows that one upstream owns.
class FlowTable
{
public:
  /// @brief Returns the record of a flow, or nullptr if the flow has no record.
  FlowRecord* find(const flow::FlowKey& aFlow);

  /// @brief Returns the record of a flow, or nullptr if the flow has no record.
  const FlowRecord* find(const flow::FlowKey& aFlow) const;

  /// @brief Adds or replaces the record of a flow.
  FlowRecord& insert(const flow::FlowKey& aFlow, const FlowRecord& aRecord);

  /// @brief Removes the record of a flow, if the flow has a record.
  void erase(const flow::FlowKey& aFlow);

  /// @brief Removes each record for which aIsExpired returns true. @note O(n) for n records
  void eraseIf(const std::function<bool(const flow::FlowKey&, FlowRecord&)>& aIsExpired);

  /// @brief Calls aVisit with each record. @note O(n) for n records
  void forEach(const std::function<void(const flow::FlowKey&, FlowRecord&)>& aVisit);

  /// @brief Number of records.
  std::size_t size() const { return mRecords.size(); }

private:
  std::unordered_map<flow::FlowKey, FlowRecord, flow::FlowKeyHash> mRecords;
};

} // namespace cornelcross::agent
