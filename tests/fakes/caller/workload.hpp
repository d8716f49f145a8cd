#pragma once

#include "fakes/caller/session.hpp"

#include <random>
#include <vector>

namespace cornelcross::fakes {

/// @brief Sessions of one kind towards one service.
struct LoadStream
{
  std::string mKind;
  flow::Endpoint mService;
  double mRate = 0; ///< sessions a second

  auto operator<=>(const LoadStream&) const = default;
};

/// @brief Parses "KIND@ADDRESS:PORT*RATE;..."; empty if any part is malformed.
std::vector<LoadStream> parseLoad(const std::string& aText);

/// @brief Parses a comma-separated list of addresses; empty if any is malformed.
std::vector<flow::Ipv4Address> parseSources(const std::string& aText);

/// @brief Settings of a workload.
struct WorkloadSettings
{
  std::string mName;
  std::vector<flow::Ipv4Address> mSources;
  std::vector<LoadStream> mStreams;
  std::uint32_t mDeadlineMs = 0;
  std::uint64_t mSeed = 0;
  std::function<void(std::string)> mSynData; ///< sends data in the next SYN; empty for none
};

/// @brief Starts sessions at random times (Poisson arrivals). Runs in lwIP's thread.
class Workload
{
public:
  explicit Workload(WorkloadSettings aSettings);

  /// @brief Begins to start sessions.
  void start();

  /// @brief Starts no more sessions.
  void stop() { mIsStopped = true; }

  const Tally& tally() const { return mTally; }

private:
  void schedule(std::size_t aStream);
  SessionPlan plan(const LoadStream& aStream);

  WorkloadSettings mSettings;
  std::mt19937_64 mRandom;
  Tally mTally;
  std::uint64_t mSessions = 0;
  bool mIsStopped = false;
};

} // namespace cornelcross::fakes
