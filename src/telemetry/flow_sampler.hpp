#pragma once

#include "telemetry/event.hpp"

#include <cstdint>

namespace cornelcross::telemetry {

/// @brief Chooses the flows whose lines are logged, by the hash of the flow: every process chooses
/// the same ones.
class FlowSampler
{
public:
  /// @param aOneIn one flow in so many; 0 for none
  explicit FlowSampler(std::uint32_t aOneIn) : mOneIn(aOneIn) {}

  /// @brief True if the event is not of a single flow, or of one that is chosen.
  bool isSampled(const Event& aEvent) const;

  /// @brief True if the flow "CALLER>SERVICE" is chosen.
  bool isSampled(const std::string& aFlow) const;

private:
  std::uint32_t mOneIn;
};

} // namespace cornelcross::telemetry
