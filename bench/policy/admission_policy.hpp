#pragma once

#include "admission/admission_control.hpp"
#include "admission/admission_queue.hpp"
#include "bench/policy/policy.hpp"

namespace cornelcross::bench {

/// @brief Agents that use the product's admission.
class AdmissionPolicy : public Policy
{
public:
  AdmissionPolicy(Service& aService,
                  const ReportChannel& aChannel,
                  const admission::AdmissionSettings& aSettings);

  void open(const FlowPtr& aFlow) override;
  void request(const FlowPtr& aFlow) override;
  void answered(const FlowPtr& aFlow, base::Duration aLatency) override;
  void closed(const FlowPtr& aFlow, bool aIsReset) override;
  void tick() override;
  std::size_t held() const override;
  void reconfigured() override;

private:
  struct Agent
  {
    explicit Agent(const admission::AdmissionSettings& aSettings)
      : mControl(aSettings), mPending(aSettings.mMaxQueued, aSettings.mMaxQueued)
    {
    }

    admission::AdmissionControl mControl;
    admission::AdmissionQueue<FlowPtr> mPending;
  };

  void step(const FlowPtr& aFlow, std::uint8_t aPosition, const wire::PlacementState& aWalk);
  void admit(const FlowPtr& aFlow, std::size_t aAgent);
  void start(const FlowPtr& aFlow);
  void release(std::size_t aAgent);
  void report();

  ReportChannel mChannel;
  admission::AdmissionSettings mSettings;
  std::vector<Agent> mAgents;
};

} // namespace cornelcross::bench
