#pragma once

#include "ownership/fleet.hpp"
#include "ownership/run_report.hpp"

#include <optional>

namespace cornelcross::test {

/// @brief Callers that open flows, send requests on them with pauses, and retransmit. Checks what
/// happens to their flows.
class Callers
{
public:
  Callers(EventQueue& aEvents, membership::Random& aRandom, Fleet& aFleet);

  /// @brief Opens flows until aEnd and keeps aCount of them open.
  void start(std::size_t aCount, base::Time aEnd);

  const RunReport& report() const { return mReport; }

private:
  enum class State
  {
    kOpening,
    kOpen,
    kEnded,
  };

  struct Flow
  {
    flow::FlowKey mKey;
    State mState = State::kOpening;
    std::uint32_t mNext = 0;            ///< sequence number of the next request
    std::uint32_t mUpstreamInitial = 0; ///< initial sequence number of the upstream
    std::uint32_t mAcknowledged = 0;    ///< next sequence number of the upstream
    base::Time mOpenedAt;
    base::Time mLastSentAt;
    bool mIsAnswered = true;
    std::uint32_t mRequests = 0;
    base::Duration mPause{ 0 };         ///< before the request that waits
    std::size_t mBalancer = 0;          ///< that got the last packet
    std::optional<base::Time> mStrayAt; ///< first packet at another upstream within the last 2 s
    std::size_t mStrays = 0;            ///< packets at other upstreams since then
    bool mHasArrived = false;           ///< a packet has arrived at its own upstream since then
    bool mWasExempt = false;            ///< the flow did not count then
    bool mIsCountedDead = false;        ///< sent to when its former agent's VM was ready again
    std::optional<base::Time> mDeadPacketAt; ///< first packet after the end of the upstream
  };

  using FlowPtr = std::shared_ptr<Flow>;

  void open();
  void sendSyn(const FlowPtr& aFlow, std::size_t aAttempt);
  void request(const FlowPtr& aFlow);
  void sendRequest(const FlowPtr& aFlow,
                   std::uint32_t aRequest,
                   base::Duration aWait,
                   base::Time aDeadline);
  void send(Flow& aFlow, std::uint8_t aFlags, std::uint32_t aBytes);
  void end(Flow& aFlow);
  void recordPacket(std::size_t aVm, const flow::Bytes& aPacket);
  void onPacket(std::size_t aVm, const flow::Bytes& aPacket);
  void onReset(Flow& aFlow, std::size_t aVm);
  void onArrival(UpstreamInstance aInstance, const flow::Bytes& aPacket, bool aIsHeld);
  void checkStrays(Flow& aFlow);
  bool isDisturbed(std::size_t aVm) const;
  bool isExempt(const Flow& aFlow) const;
  void reportViolation(const Flow& aFlow, const std::string& aText);

  EventQueue& mEvents;
  membership::Random& mRandom;
  Fleet& mFleet;
  base::Time mEnd;
  std::uint32_t mFlowCount = 0;
  std::map<flow::FlowKey, FlowPtr> mFlows;
  RunReport mReport;
};

} // namespace cornelcross::test
