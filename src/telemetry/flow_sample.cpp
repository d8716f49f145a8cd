#include "telemetry/flow_sample.hpp"

#include <xxhash.h>

namespace cornelcross::telemetry {

bool FlowSample::includes(const std::string& aFlow) const
{
  return mOneIn > 0 && XXH3_64bits(aFlow.data(), aFlow.size()) % mOneIn == 0;
}

bool FlowSample::includes(const Event& aEvent) const
{
  switch (aEvent.mKind) {
    case EventKind::kFlowOpened:
    case EventKind::kFlowClosed:
    case EventKind::kFlowAdopted:
    case EventKind::kFlowOffered:
      return !aEvent.mFields.empty() && includes(aEvent.mFields.front().second);
    default:
      return true;
  }
}

} // namespace cornelcross::telemetry
