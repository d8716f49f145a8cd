#include "telemetry/event.hpp"

namespace cornelcross::telemetry {

std::string_view toString(EventKind aKind)
{
  switch (aKind) {
    case EventKind::kProcessStarted:
      return "process_started";
    case EventKind::kProcessStopping:
      return "process_stopping";
    case EventKind::kProcessStopped:
      return "process_stopped";
    case EventKind::kConfigApplied:
      return "config_applied";
    case EventKind::kConfigRejected:
      return "config_rejected";
    case EventKind::kConfigUnavailable:
      return "config_unavailable";
    case EventKind::kConfigConfirmed:
      return "config_confirmed";
    case EventKind::kProcessPaused:
      return "process_paused";
    case EventKind::kUpstreamAssigned:
      return "upstream_assigned";
    case EventKind::kUpstreamMismatched:
      return "upstream_mismatched";
    case EventKind::kFlowOpened:
      return "flow_opened";
    case EventKind::kFlowClosed:
      return "flow_closed";
    case EventKind::kFlowRefused:
      return "flow_refused";
    case EventKind::kFlowAdopted:
      return "flow_adopted";
    case EventKind::kPacketDropped:
      return "packet_dropped";
    case EventKind::kSettingsApplied:
      return "settings_applied";
    case EventKind::kSettingsRejected:
      return "settings_rejected";
    case EventKind::kFlowOffered:
      return "flow_offered";
    case EventKind::kLogSuppressed:
      return "log_suppressed";
    case EventKind::kZoneChanged:
      return "zone_changed";
    case EventKind::kAddressChanged:
      return "address_changed";
    case EventKind::kServiceChanged:
      return "service_changed";
    case EventKind::kFlowReset:
      return "flow_reset";
    case EventKind::kConfigListed:
      return "config_listed";
    case EventKind::kConfigOutdated:
      return "config_outdated";
    case EventKind::kOwnershipEvidence:
      return "ownership_evidence";
    case EventKind::kHedgingSuppressed:
      return "hedging_suppressed";
    case EventKind::kOwnerNotFound:
      return "owner_not_found";
    case EventKind::kUpstreamUneven:
      return "upstream_uneven";
    case EventKind::kUpstreamEnded:
      return "upstream_ended";
  }
  return "unknown";
}

} // namespace cornelcross::telemetry
