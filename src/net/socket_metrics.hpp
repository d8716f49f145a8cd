#pragma once

#include "net/udp_socket.hpp"
#include "telemetry/metrics.hpp"

namespace cornelcross::net {

/// @brief Registers metrics for the counts of aSocket. aSocket must live as long as aMetrics.
void registerSocketMetrics(telemetry::Metrics& aMetrics, const UdpSocket& aSocket);

} // namespace cornelcross::net
