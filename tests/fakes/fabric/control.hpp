#pragma once

#include "fakes/fabric/relay.hpp"

namespace cornelcross::fakes {

/// @brief Carries out one control line:
///   balancers ADDRESS:PORT,...              spray over these
///   node NAME ADVERTISED REAL               carry datagrams to and from a process
///   default LOSS DUPLICATE DELAY JITTER     quality of every other link (ms)
///   link FROM TO LOSS DUPLICATE DELAY JITTER
///   forget_flows                            lose track of the callers' open flows
///   cut|heal|forget FROM TO                 one way, by address
/// @return false if the line is malformed
bool controlRelay(Relay& aRelay, const std::string& aLine);

} // namespace cornelcross::fakes
