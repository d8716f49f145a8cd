#include "base/safety_mechanisms.hpp"

#include <cstdlib>
#include <stdexcept>
#include <string>

namespace cornelcross::base {

namespace {

/// Switches off the mechanism that CORNELCROSS_TEST_FAULT names.
SafetyMechanisms makeFaulty()
{
  const char* value = std::getenv("CORNELCROSS_TEST_FAULT");
  const std::string fault = value == nullptr ? "" : value;
  SafetyMechanisms all;
  if (fault == "ignore-zone-out") {
    all.mExcludeOutZones = false;
  } else if (fault == "ignore-leaving") {
    all.mExcludeLeavingUpstreams = false;
  } else if (fault == "skip-service-check") {
    all.mCheckService = false;
  } else if (fault == "keep-syn-data") {
    all.mStripSynData = false;
  } else if (fault == "drop-unowned") {
    all.mForwardUnowned = false;
  } else if (fault == "forget-flows") {
    all.mAdoptFlows = false;
  } else if (fault == "revert-revision") {
    all.mRejectStaleRevisions = false;
  } else if (fault == "no-cold-limit") {
    all.mLimitColdStart = false;
  } else {
    throw std::invalid_argument("CORNELCROSS_TEST_FAULT: unknown fault \"" + fault + "\"");
  }
  return all;
}

} // namespace

const SafetyMechanisms& safetyMechanisms()
{
  static const SafetyMechanisms kFaulty = makeFaulty();
  return kFaulty;
}

} // namespace cornelcross::base
