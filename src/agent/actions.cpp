#include "agent/actions.hpp"

#include <iterator>

namespace cornelcross::agent {

std::string_view toString(DropReason aReason)
{
  switch (aReason) {
    case DropReason::kMalformed:
      return "malformed";
    case DropReason::kNotConfigured:
      return "not_configured";
    case DropReason::kForeignService:
      return "foreign_service";
    case DropReason::kZoneOut:
      return "zone_out";
    case DropReason::kNoOwner:
      return "no_owner";
    case DropReason::kAlreadyQueued:
      return "held_already";
    case DropReason::kNotOwned:
      return "not_owned";
    case DropReason::kNoRecord:
      return "no_record";
    case DropReason::kTooManyHops:
      return "too_many_hops";
  }
  return "unknown";
}

void append(Actions& aActions, Actions aMore)
{
  aActions.insert(
    aActions.end(), std::make_move_iterator(aMore.begin()), std::make_move_iterator(aMore.end()));
}

} // namespace cornelcross::agent
