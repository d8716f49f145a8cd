#include "telemetry/flow_sampler.hpp"

#include <xxhash.h>

namespace cornelcross::telemetry {

bool FlowSampler::isSampled(const std::string& aFlow) const
{
  return mInterval > 0 && XXH3_64bits(aFlow.data(), aFlow.size()) % mInterval == 0;
}

bool FlowSampler::isSampled(const Event& aEvent) const
{
  switch (aEvent.mKind) {
    case EventKind::kFlowOpened:
    case EventKind::kFlowClosed:
    case EventKind::kFlowAdopted:
    case EventKind::kFlowOffered:
      return !aEvent.mFields.empty() && isSampled(aEvent.mFields.front().second);
    default:
      return true;
  }
}

} // namespace cornelcross::telemetry
