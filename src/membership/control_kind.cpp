#include "membership/control_kind.hpp"

namespace cornelcross::membership {

namespace {

std::optional<ControlKind> kindOf(const wire::Forward&)
{
  return std::nullopt;
}

std::optional<ControlKind> kindOf(const wire::Heartbeat& aHeartbeat)
{
  return aHeartbeat.mIsReplyRequested || aHeartbeat.mIsReply ? ControlKind::kConfirmation
                                                             : ControlKind::kHeartbeat;
}

std::optional<ControlKind> kindOf(const wire::Probe&)
{
  return ControlKind::kProbe;
}

std::optional<ControlKind> kindOf(const wire::ProbeReply&)
{
  return ControlKind::kProbe;
}

std::optional<ControlKind> kindOf(const wire::OwnerLookup&)
{
  return ControlKind::kOwnerLookup;
}

std::optional<ControlKind> kindOf(const wire::OwnerLookupReply&)
{
  return ControlKind::kOwnerLookup;
}

std::optional<ControlKind> kindOf(const wire::LoadReport&)
{
  return ControlKind::kLoadReport;
}

std::optional<ControlKind> kindOf(const wire::OwnerUpdate&)
{
  return ControlKind::kOwnerUpdate;
}

} // namespace

std::string_view toString(ControlKind aKind)
{
  switch (aKind) {
    case ControlKind::kConfirmation:
      return "confirmation";
    case ControlKind::kPull:
      return "pull";
    case ControlKind::kServiceRead:
      return "service_read";
    case ControlKind::kHeartbeat:
      return "heartbeat";
    case ControlKind::kProbe:
      return "probe";
    case ControlKind::kOwnerLookup:
      return "owner_lookup";
    case ControlKind::kLoadReport:
      return "load_report";
    case ControlKind::kOwnerUpdate:
      return "owner_notice";
  }
  return "unknown";
}

std::optional<ControlKind> controlKindOf(const wire::Message& aMessage)
{
  return std::visit([](const auto& aAlternative) { return kindOf(aAlternative); }, aMessage);
}

} // namespace cornelcross::membership
