#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cornelcross::bench {

/// @brief Sessions of one kind.
struct SessionKind
{
  std::string mName;
  std::uint32_t mRequests = 1; ///< requests of one flow
  double mWork = 0.02;         ///< seconds that a request takes in the mean
  double mThink = 0;           ///< seconds between an answer and the next request
  double mShare = 1;           ///< part of the service's work

  auto operator<=>(const SessionKind&) const = default;
};

/// @brief One service and what callers want of it.
struct Workload
{
  std::string mName;
  std::uint32_t mUpstreams = 1;
  std::uint32_t mSlots = 1;
  std::vector<SessionKind> mKinds;
  std::vector<double> mWorkspaceShares; ///< parts of the load, any unit

  auto operator<=>(const Workload&) const = default;
};

/// @brief The workload of this name; null if there is none.
std::unique_ptr<Workload> findWorkload(const std::string& aName);

/// @brief Names of all workloads.
std::vector<std::string> workloadNames();

} // namespace cornelcross::bench
