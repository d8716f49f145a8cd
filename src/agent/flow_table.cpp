#include "agent/flow_table.hpp"

namespace cornelcross::agent {

FlowRecord* FlowTable::find(const flow::FlowKey& aFlow)
{
  const auto found = mRecords.find(aFlow);
  return found == mRecords.end() ? nullptr : &found->second;
}

const FlowRecord* FlowTable::find(const flow::FlowKey& aFlow) const
{
  const auto found = mRecords.find(aFlow);
  return found == mRecords.end() ? nullptr : &found->second;
}

FlowRecord& FlowTable::insert(const flow::FlowKey& aFlow, const FlowRecord& aRecord)
{
  return mRecords.insert_or_assign(aFlow, aRecord).first->second;
}

void FlowTable::erase(const flow::FlowKey& aFlow)
{
  mRecords.erase(aFlow);
}

void FlowTable::eraseIf(const std::function<bool(const flow::FlowKey&, FlowRecord&)>& aIsExpired)
{
  for (auto entry = mRecords.begin(); entry != mRecords.end();) {
    entry = aIsExpired(entry->first, entry->second) ? mRecords.erase(entry) : std::next(entry);
  }
}

void FlowTable::forEach(const std::function<void(const flow::FlowKey&, FlowRecord&)>& aVisit)
{
  for (auto& [key, record] : mRecords) {
    aVisit(key, record);
  }
}

} // namespace cornelcross::agent
