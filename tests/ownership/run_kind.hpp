#pragma once

#include "ownership/run_report.hpp"

#include <cstdint>
#include <string_view>

namespace cornelcross::test {

/// @brief What happens in a run.
enum class RunKind
{
  kPowerLost,            ///< power is lost everywhere
  kAgentsWhileZoneOut,   ///< agents are restarted while a zone is out of service
  kStoreAway,            ///< the store is away while upstreams and agents are restarted
  kClocksStep,           ///< clocks step back, upstreams and agents are restarted
  kZonePowerLostThenOut, ///< a zone loses power and is taken out of service while agents start
  kZoneReturning,        ///< agents are restarted, then zones go out and return beside balancers
  kLateCopies,           ///< agents are restarted while packets of callers arrive late
  kMixed,                ///< all of these, processes that end and one-way loss
};

/// @brief Name of the kind in the output and in OWNERSHIP_KIND.
std::string_view toString(RunKind aKind);

/// @brief Plays one run, which the seed reproduces.
RunReport playRun(RunKind aKind, std::uint64_t aSeed);

} // namespace cornelcross::test
