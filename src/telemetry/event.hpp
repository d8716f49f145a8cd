#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cornelcross::telemetry {

/// @brief Kinds of events in the log. docs/EVENTS.md lists them with their fields.
enum class EventKind
{
  kProcessStarted,
  kProcessStopping,
  kProcessStopped,
  kConfigApplied,
  kConfigRejected,
  kConfigUnavailable,
  kConfigConfirmed,
  kProcessPaused,
  kUpstreamAssigned,
  kUpstreamMismatched,
  kFlowOpened,
  kFlowClosed,
  kFlowRefused,
  kFlowAdopted,
  kPacketDropped,
  kSettingsApplied,
  kSettingsRejected,
  kFlowOffered,
  kLogSuppressed,
  kZoneChanged,
  kAddressChanged,
  kServiceChanged,
  kFlowReset,
  kConfigListed,
  kConfigOutdated,
  kOwnershipEvidence,
  kHedgingSuppressed,
  kOwnerNotFound,
  kUpstreamUneven,
  kUpstreamEnded,
};

/// @brief Name of the event in a log line.
std::string_view toString(EventKind aKind);

/// @brief An event and its fields, in the order of the log line.
struct Event
{
  EventKind mKind = EventKind::kProcessStarted;
  std::vector<std::pair<std::string, std::string>> mFields;

  auto operator<=>(const Event&) const = default;
};

} // namespace cornelcross::telemetry
