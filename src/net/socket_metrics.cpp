#include "net/socket_metrics.hpp"

#include <array>
#include <prometheus/counter.h>

namespace cornelcross::net {

namespace {

using CountField = std::uint64_t SocketCounts::*;

struct SocketCounter
{
  const char* mName;
  const char* mHelp;
  CountField mField;
};

constexpr std::array kCounters = {
  SocketCounter{ "cornelcross_receive_datagrams_total",
                 "Datagrams received, packets and messages",
                 &SocketCounts::mReceivedDatagrams },
  SocketCounter{ "cornelcross_receive_bytes_total",
                 "Bytes received in datagrams, without IP and UDP headers",
                 &SocketCounts::mReceivedBytes },
  SocketCounter{ "cornelcross_transmit_datagrams_total",
                 "Datagrams sent, packets and messages",
                 &SocketCounts::mSentDatagrams },
  SocketCounter{ "cornelcross_transmit_bytes_total",
                 "Bytes sent in datagrams, without IP and UDP headers",
                 &SocketCounts::mSentBytes },
  SocketCounter{ "cornelcross_transmit_failures_total",
                 "Datagrams that the kernel did not take",
                 &SocketCounts::mSendFailures },
};

} // namespace

void registerSocketMetrics(telemetry::Metrics& aMetrics, const UdpSocket& aSocket)
{
  for (const SocketCounter& item : kCounters) {
    auto& counter = aMetrics.counter(item.mName, item.mHelp);
    aMetrics.onExpose([&counter, &aSocket, field = item.mField] {
      telemetry::raiseCounterTo(counter, static_cast<double>(aSocket.counts().*field));
    });
  }
}

} // namespace cornelcross::net
