#include "base/mechanisms.hpp"

#include <cstdlib>
#include <stdexcept>
#include <string>

namespace cornelcross::base {

namespace {

/// Switches off the mechanism that CORNELCROSS_TEST_FAULT names.
Mechanisms makeFaulty()
{
  const char* value = std::getenv("CORNELCROSS_TEST_FAULT");
  const std::string fault = value == nullptr ? "" : value;
  Mechanisms all;
  if (fault == "ignore-zone-out") {
    all.mObserveZoneOut = false;
  } else if (fault == "ignore-leaving") {
    all.mObserveLeaving = false;
  } else if (fault == "skip-service-check") {
    all.mCheckService = false;
  } else if (fault == "keep-syn-data") {
    all.mStripSynData = false;
  } else if (fault == "drop-unowned") {
    all.mPassUnowned = false;
  } else if (fault == "forget-flows") {
    all.mAdoptFlows = false;
  } else if (fault == "revert-revision") {
    all.mKeepRevisions = false;
  } else if (fault == "no-cold-limit") {
    all.mLimitColdStart = false;
  } else {
    throw std::invalid_argument("CORNELCROSS_TEST_FAULT: unknown fault \"" + fault + "\"");
  }
  return all;
}

} // namespace

const Mechanisms& mechanisms()
{
  static const Mechanisms kFaulty = makeFaulty();
  return kFaulty;
}

} // namespace cornelcross::base
