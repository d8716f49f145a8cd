#pragma once

#include <compare>
#include <cstdint>

namespace cornelcross::wire {

/// @brief Checks that a process is alive and queries its active revision.
struct Probe
{
  std::uint64_t mNonce = 0;   ///< the reply repeats the value
  std::uint32_t mAttempt = 1; ///< number of probes since the last reply, including this probe

  auto operator<=>(const Probe&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNonce, mAttempt);
  }
};

/// @brief Reply to a Probe. The enclosing frame contains the active revision of the sender.
struct ProbeReply
{
  std::uint64_t mNonce = 0; ///< nonce of the Probe

  auto operator<=>(const ProbeReply&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNonce);
  }
};

} // namespace cornelcross::wire
