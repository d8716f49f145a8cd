#include "admission/admission_control.hpp"

namespace cornelcross::admission {

AdmissionControl::AdmissionControl(std::uint32_t aMaxFlows) : mMaxFlows(aMaxFlows) {}

void AdmissionControl::configure(std::uint32_t aSlots)
{
  mSlots = aSlots;
}

Verdict AdmissionControl::decide(base::Time) const
{
  return mFlows < mMaxFlows ? Verdict::kAdmit : Verdict::kPass;
}

void AdmissionControl::flowOpened(base::Time)
{
  ++mFlows;
}

void AdmissionControl::flowClosed(base::Time)
{
  --mFlows;
}

void AdmissionControl::requestStarted(base::Time)
{
  ++mBusy;
}

void AdmissionControl::requestAnswered(base::Time, base::Duration)
{
  --mBusy;
}

void AdmissionControl::requestAbandoned(base::Time)
{
  --mBusy;
}

} // namespace cornelcross::admission
