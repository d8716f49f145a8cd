#pragma once

#include "base/time.hpp"
#include "flow/tcp_packet.hpp"

#include <compare>
#include <cstdint>

namespace cornelcross::agent {

/// @brief Where a flow stands.
enum class FlowState : std::uint8_t
{
  kHalfOpen,    ///< SYN delivered, the caller's ACK not seen
  kEstablished, ///< the caller acknowledged the upstream's SYN
  kClosing,     ///< both sides sent FIN
};

/// @brief What an agent knows about one flow of its upstream.
struct FlowRecord
{
  FlowState mState = FlowState::kHalfOpen;
  bool mHasSynAck = false;           ///< the upstream's SYN-ACK was seen
  bool mHasActiveRequest = false;    ///< the last payload went towards the upstream
  bool mHasCallerFin = false;        ///< the caller sent FIN
  bool mHasUpstreamFin = false;      ///< the upstream sent FIN
  bool mIsCallerNextValid = false;   ///< mCallerNextSequence is valid
  bool mIsUpstreamNextValid = false; ///< mUpstreamNextSequence is valid
  bool mIsUnresponsive = false;      ///< an end left its keep-alive probes unanswered
  bool mIsAdopted = false; ///< the upstream may have sent more than mUpstreamNextSequence says
  bool mAwaitsFirstRequest = false; ///< the first request since admission was not seen
  bool mHasQueuedRequest = false;   ///< the packet at mQueuedSequence waits for room
  bool mIsUnidirectional = false;   ///< the upstream left a request unanswered; none counts as load
  std::uint32_t mQueuedSequence = 0;        ///< first sequence number of the request that waits
  std::uint32_t mCallerInitialSequence = 0; ///< the caller's initial sequence number
  std::uint32_t mPendingInitialSequence =
    0; ///< of a SYN that reuses the port of this flow; 0 if none
  std::uint32_t mCallerNextSequence =
    0; ///< highest sequence number that the caller has sent, plus one
  std::uint32_t mUnansweredCallerProbes = 0;   ///< keep-alive probes since the caller was heard
  std::uint32_t mUnansweredUpstreamProbes = 0; ///< keep-alive probes since the upstream was heard
  std::uint32_t mUpstreamNextSequence =
    0;                            ///< highest sequence number that the upstream has sent, plus one
  base::Time mLastCallerPacketAt; ///< last packet of the caller
  base::Time mLastUpstreamPacketAt; ///< last packet of the upstream
  base::Time mLastKeepAliveProbeAt; ///< last probe
  base::Time mLastPacketAt;         ///< last packet in either direction
  base::Time
    mRequestStartedAt; ///< start of the request in progress; admission while mAwaitsFirstRequest

  auto operator<=>(const FlowRecord&) const = default;
};

/// @brief True if a packet of the caller carries payload that the agent has not seen before.
bool isNewPayload(const FlowRecord& aRecord, const flow::TcpPacket& aPacket);

/// @brief Notes a packet of the caller, after which its next sequence number is aNext.
void recordCallerPacket(base::Time aNow, FlowRecord& aRecord, std::uint32_t aNext);

/// @brief Notes a packet of the upstream, after which its next sequence number is aNext.
void recordUpstreamPacket(base::Time aNow, FlowRecord& aRecord, std::uint32_t aNext);

} // namespace cornelcross::agent
