#include "history/violation.hpp"

namespace cornelcross::history {

std::string toString(Point aPoint)
{
  switch (aPoint) {
    case Point::kEstablishedFlow:
      return "established-flow";
    case Point::kServiceIsolation:
      return "service-isolation";
    case Point::kColdLoad:
      return "cold-load";
    case Point::kZoneOut:
      return "zone-out";
    case Point::kWholeAnswer:
      return "whole-answer";
    case Point::kTrueRefusal:
      return "true-refusal";
    case Point::kSavedOnce:
      return "saved-once";
    case Point::kLeaving:
      return "leaving";
    case Point::kGracefulStop:
      return "graceful-stop";
    case Point::kConfiguration:
      return "configuration";
  }
  return "unknown";
}

} // namespace cornelcross::history
