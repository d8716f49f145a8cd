#pragma once

#include "base/time.hpp"
#include "flow/flow_key.hpp"

#include <unordered_map>

namespace cornelcross::agent {

/// @brief What to do with a RST that the upstream sent.
enum class ResetHandling
{
  kForward,  ///< it concerns the caller
  kSuppress, ///< it only answers a query: the upstream does not own the flow
};

/// @brief Asks the upstream about flows that no agent has a record of, by handing it their packets.
///
/// An agent that started beside a living upstream can't tell which flows that one has. A packet of
/// a flow that it has is acknowledged; one of a flow that it does not have is answered with RST
/// (RFC 9293, section 3.5.2), which is held back and remembered as a denial.
class UpstreamOwnershipQueries
{
public:
  /// @brief True if the upstream has denied the flow lately.
  bool isDenied(base::Time aNow, const flow::FlowKey& aFlow) const;

  /// @brief Notes that a packet of the flow is handed to the upstream as a query.
  /// @param aIsDecisive everyone else has denied the flow
  /// @return false if too many questions were asked lately; the packet is to be dropped
  bool start(base::Time aNow, const flow::FlowKey& aFlow, bool aIsDecisive);

  /// @brief The upstream answered a packet of the flow with RST.
  ResetHandling onReset(base::Time aNow, const flow::FlowKey& aFlow);

  /// @brief The upstream returned a packet of the flow: it doesn't hold it.
  void recordDenial(base::Time aNow, const flow::FlowKey& aFlow);

  /// @brief The flow is known by now: forgets questions and denials.
  void erase(const flow::FlowKey& aFlow);

  /// @brief Forgets everything: the upstream is another one.
  void clear();

  /// @brief Forgets what is old. @note O(n)
  void expire(base::Time aNow);

  /// @brief Questions asked so far.
  std::uint64_t queriesSent() const { return mQueriesSent; }

private:
  struct Query
  {
    base::Time mSentAt;
    base::Time mDeniedAt;
    bool mIsDecisive = false;
    bool mIsDenied = false;
  };

  std::unordered_map<flow::FlowKey, Query, flow::FlowKeyHash> mQueries;
  base::Time mSecondStartedAt;
  std::uint32_t mSentInSecond = 0;
  std::uint64_t mQueriesSent = 0;
};

} // namespace cornelcross::agent
