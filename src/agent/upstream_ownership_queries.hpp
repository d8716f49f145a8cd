#pragma once

#include "base/time.hpp"
#include "flow/flow_key.hpp"

#include <unordered_map>

namespace cornelcross::agent {

/// @brief Treatment of a RST that the upstream sent.
enum class ResetHandling
{
  kForward,  ///< the RST is sent to the caller
  kSuppress, ///< the RST only answers a query: the upstream does not own the flow
};

/// @brief Tracks queries for the ownership of flows without a record. A query delivers a packet of
/// the flow to the upstream.
///
/// An agent that started beside a running upstream has no list of the upstream's flows. The
/// upstream acknowledges a packet of a flow that it owns and answers a packet of any other flow
/// with RST (RFC 9293, section 3.5.2). The agent suppresses that RST and stores a denial.
class UpstreamOwnershipQueries
{
public:
  /// @brief True if the upstream denied the flow within the lifetime of a denial, 60 s.
  bool isDenied(base::Time aNow, const flow::FlowKey& aFlow) const;

  /// @brief True if the upstream may still return the packet of a query of the flow. An upstream
  /// that has not returned it by then owns the flow or does not run.
  bool isPending(base::Time aNow, const flow::FlowKey& aFlow) const;

  /// @brief Starts a query. FlowManager delivers a packet of the flow to the upstream.
  /// @param aIsDecisive every other possible owner has denied the flow
  /// @return false if a limit on queries is reached; the packet has to be dropped
  bool start(base::Time aNow, const flow::FlowKey& aFlow, bool aIsDecisive);

  /// @brief Handles a RST of the upstream for a flow without a record. A RST that answers a query
  /// is stored as a denial.
  ResetHandling onReset(base::Time aNow, const flow::FlowKey& aFlow);

  /// @brief Records that the upstream denied the flow by returning a packet of it.
  void recordDenial(base::Time aNow, const flow::FlowKey& aFlow);

  /// @brief Removes the query or denial of a flow that has a record now.
  void erase(const flow::FlowKey& aFlow);

  /// @brief Removes all queries and denials, because the upstream was replaced.
  void clear();

  /// @brief Removes expired queries and denials. @note O(n) for n queries and denials
  void expire(base::Time aNow);

  /// @brief Number of queries started so far.
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
