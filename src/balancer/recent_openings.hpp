#pragma once

#include "base/time.hpp"
#include "flow/flow_key.hpp"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelcross::balancer {

/// @brief Recent connection attempts of callers that this balancer forwarded, and whether an agent
/// has admitted them.
///
/// A caller retransmits a SYN that nobody answers. With the agents that got the earlier copies, the
/// balancer can select another one. Deterministic: the caller passes the current time to each call.
class RecentOpenings
{
public:
  /// A connection attempt.
  struct Opening
  {
    std::uint64_t mService = 0;         ///< hash of the name of the service
    std::uint32_t mSequence = 0;        ///< sequence number of the SYN
    base::Time mStartedAt;              ///< arrival of the first SYN
    std::vector<flow::Endpoint> mTried; ///< agents that got a SYN, in this order
    bool mIsAdmitted = false;
    bool mIsLate = false; ///< no agent has admitted it within the delay of its service
    std::optional<flow::Endpoint> mHedge; ///< agent that got a hedged attempt
  };

  /// The first admission of an attempt.
  struct Admission
  {
    std::uint64_t mService = 0; ///< hash of the name of the service
    base::Duration mDelay;      ///< time from the first SYN
    bool mIsHedged = false;     ///< a second agent got the attempt
    bool mIsByHedge = false;    ///< the second agent admitted it

    auto operator<=>(const Admission&) const = default;
  };

  /// @param aCapacity maximum number of attempts; the oldest is dropped first
  explicit RecentOpenings(std::size_t aCapacity) : mCapacity(aCapacity) {}

  /// @brief Attempt of a flow with the sequence number aSequence; nullptr if there is none.
  const Opening* find(base::Time aNow, const flow::FlowKey& aFlow, std::uint32_t aSequence) const;

  /// @brief Records that a SYN of a flow to aService was forwarded to aAgent.
  /// @return true if the SYN starts a new attempt
  bool record(base::Time aNow,
              std::uint64_t aService,
              const flow::FlowKey& aFlow,
              std::uint32_t aSequence,
              flow::Endpoint aAgent);

  /// @brief Marks a known attempt as late. @return true if it was not marked before
  bool markLate(const flow::FlowKey& aFlow);

  /// @brief Records that a copy of a known SYN was sent to a second agent.
  void recordHedge(const flow::FlowKey& aFlow, flow::Endpoint aAgent);

  /// @brief Records that aAgent has admitted a flow.
  /// @return the admission, if it is the first one of a known attempt
  std::optional<Admission> recordAdmission(base::Time aNow,
                                           const flow::FlowKey& aFlow,
                                           flow::Endpoint aAgent);

  /// @brief Number of stored attempts.
  std::size_t size() const { return mOpenings.size(); }

private:
  static bool isExpired(base::Time aNow, const Opening& aOpening);
  static void addTried(Opening& aOpening, flow::Endpoint aAgent);
  void evict(base::Time aNow);

  std::size_t mCapacity;
  std::unordered_map<flow::FlowKey, Opening, flow::FlowKeyHash> mOpenings;

  /// Start of an attempt, which may have been replaced by a later attempt of the same flow.
  struct Start
  {
    base::Time mStartedAt;
    flow::FlowKey mFlow;
  };

  std::deque<Start> mStarts; ///< in the order of time
};

} // namespace cornelcross::balancer
