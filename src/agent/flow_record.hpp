#pragma once

#include "base/time.hpp"
#include "flow/tcp_packet.hpp"

#include <compare>
#include <cstdint>

namespace cornelcross::agent {

/// @brief Distance by which an acknowledgement may be behind the upstream's next sequence number:
/// the largest window with scaling in common use. A stale or foreign acknowledgement fits with a
/// probability of 1 in 1024.
inline constexpr std::uint32_t kAckWindowBytes = 4 * 1024 * 1024;

/// @brief Phase of a flow's TCP connection.
enum class FlowState : std::uint8_t
{
  kHalfOpen,    ///< the SYN was delivered and the caller's ACK was not seen
  kEstablished, ///< the caller acknowledged the upstream's SYN
  kClosing,     ///< both sides sent FIN
};

/// @brief State of one flow that the agent's upstream owns.
struct FlowRecord
{
  FlowState mState = FlowState::kHalfOpen;
  bool mHasSynAck = false;        ///< the upstream's SYN-ACK was seen
  bool mHasActiveRequest = false; ///< the last payload went towards the upstream
  bool mHasCallerFin = false;
  bool mHasUpstreamFin = false;
  bool mIsCallerNextValid = false;   ///< mCallerNextSequence is valid
  bool mIsUpstreamNextValid = false; ///< mUpstreamNextSequence is valid
  bool mIsUnresponsive = false;      ///< an end left its keep-alive probes unanswered
  bool mIsAdopted = false; ///< the upstream may have sent data beyond mUpstreamNextSequence
  bool mIsAwaitingFirstRequest = false; ///< no request was seen since the admission
  bool mHasQueuedRequest = false;       ///< the packet at mQueuedSequence is queued

  /// The upstream left a request unanswered: the caller only sends, and no request counts as load.
  bool mIsUnidirectional = false;

  std::uint32_t mQueuedSequence = 0;        ///< first sequence number of the queued request
  std::uint32_t mCallerInitialSequence = 0; ///< sequence number of the caller's SYN

  /// Sequence number of a later SYN that reuses the caller's port of this flow; 0 if none.
  std::uint32_t mPendingInitialSequence = 0;

  std::uint32_t mCallerNextSequence = 0;       ///< highest sequence number of the caller, plus one
  std::uint32_t mUnansweredCallerProbes = 0;   ///< probes since the caller's last packet
  std::uint32_t mUnansweredUpstreamProbes = 0; ///< probes since the upstream's last packet
  std::uint32_t mUpstreamNextSequence = 0; ///< highest sequence number of the upstream, plus one
  base::Time mLastCallerPacketAt;
  base::Time mLastUpstreamPacketAt;
  base::Time mLastKeepAliveProbeAt;
  base::Time mLastPacketAt; ///< last packet of either end

  /// Start of the active request, or the flow's admission while mIsAwaitingFirstRequest.
  base::Time mRequestStartedAt;

  auto operator<=>(const FlowRecord&) const = default;
};

/// @brief True if a packet of the caller carries payload beyond mCallerNextSequence.
bool isNewPayload(const FlowRecord& aRecord, const flow::TcpPacket& aPacket);

/// @brief Records a packet of the caller. @param aNext sequence number after the packet
void recordCallerPacket(base::Time aNow, FlowRecord& aRecord, std::uint32_t aNext);

/// @brief Records a packet of the upstream. @param aNext sequence number after the packet
void recordUpstreamPacket(base::Time aNow, FlowRecord& aRecord, std::uint32_t aNext);

} // namespace cornelcross::agent
