#pragma once

#include <compare>
#include <cstdint>

namespace cornelcross::wire {

/// @brief Asks a process for a sign of life and the revision that it has in force.
struct Probe
{
  std::uint64_t mNonce = 0;   ///< repeated in the answer
  std::uint32_t mAttempt = 1; ///< probes since the last answer, this one included

  auto operator<=>(const Probe&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNonce, mAttempt);
  }
};

/// @brief Answers a Probe. The frame carries the revision.
struct ProbeReply
{
  std::uint64_t mNonce = 0; ///< from the Probe

  auto operator<=>(const ProbeReply&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNonce);
  }
};

} // namespace cornelcross::wire
