#pragma once

#include "base/time.hpp"
#include "flow/flow_key.hpp"

#include <deque>
#include <map>
#include <vector>

namespace cornelcross::agent {

/// @brief Queries of the owners of flows that agents have not answered yet, in rounds, and the
/// agents that leave them unanswered.
///
/// A round asks each agent once. Replies to earlier rounds count for a second: what an agent says
/// about its upstream stays valid. Deterministic: the caller passes the current time to each call.
class LookupQueries
{
public:
  /// Flows that each agent is asked about.
  using Flows = std::map<flow::Endpoint, std::vector<flow::FlowKey>>;

  /// The flows that a reply answers, in the order of its ownerships.
  struct Answer
  {
    base::Time mAskedAt;
    std::vector<flow::FlowKey> mFlows; ///< empty if the reply answers no query
  };

  /// @param aFirstRound number before that of the first round
  explicit LookupQueries(std::uint32_t aFirstRound) : mRound(aFirstRound) {}

  /// @brief Starts a round. @return its number
  std::uint32_t start(base::Time aNow, Flows aFlows);

  /// @brief Ends the current round; its unanswered queries become those of an earlier one.
  void finish(base::Time aNow);

  /// @brief Start of the latest round.
  base::Time startedAt() const { return mStartedAt; }

  /// @brief True if the current round has lasted for its timeout.
  bool isTimedOut(base::Time aNow) const;

  /// @brief True if only agents have not answered that have just left another query unanswered. An
  /// agent that is gone would otherwise make each round last for the whole timeout.
  bool areOnlySilentAgentsLeft(base::Time aNow) const;

  /// @brief Removes the query that a reply answers.
  /// @param aRound round of the reply
  /// @param aCount number of flows in the reply
  Answer takeAnswered(base::Time aNow,
                      flow::Endpoint aFrom,
                      std::uint32_t aRound,
                      std::size_t aCount);

  /// @brief Counts the queries that have been unanswered for the timeout of a round, also if their
  /// round ended earlier.
  void countUnanswered(base::Time aNow);

  /// @brief True if the agent has left several queries unanswered over at least a second.
  bool hasLongBeenSilent(base::Time aNow, flow::Endpoint aAgent) const;

private:
  struct EarlierRound
  {
    std::uint32_t mNumber = 0;
    base::Time mStartedAt;
    Flows mUnanswered;
    bool mIsCounted = false; ///< the unanswered queries are counted in mSilences
  };

  /// Queries that an agent left unanswered in a row.
  struct Silence
  {
    base::Time mSince; ///< time of the first
    base::Time mLast;  ///< time of the latest
    std::uint32_t mQueries = 0;
  };

  bool isSilent(base::Time aNow, flow::Endpoint aAgent) const;

  std::uint32_t mRound;
  base::Time mStartedAt;
  Flows mUnanswered; ///< of the current round
  std::deque<EarlierRound> mEarlierRounds;
  std::map<flow::Endpoint, Silence> mSilences; ///< by agent
};

} // namespace cornelcross::agent
