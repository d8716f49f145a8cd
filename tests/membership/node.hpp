#pragma once

#include "membership/runtime.hpp"
#include "net/udp_socket.hpp"

#include <functional>

namespace cornelcross::test {

/// @brief What a node is started with.
struct NodeSettings
{
  flow::Endpoint mListen;
  flow::Endpoint mConfigService;
  std::vector<flow::Endpoint> mSeeds;
  std::uint32_t mReadersPerZone = 1;
};

/// @brief The membership of one process behind a UDP socket that can be cut off.
class Node
{
public:
  explicit Node(const NodeSettings& aSettings);

  /// @brief Loses every datagram to and from the node, or none.
  void setCutOff(bool aIsCutOff) { mIsCutOff = aIsCutOff; }

  std::uint64_t revision() const { return mShell.store().revision(); }
  config::ConfigurationPtr configuration() const { return mShell.store().configuration(); }
  bool mayForward() { return mShell.mayForward(); }
  std::uint64_t serviceCalls() const;

private:
  bool mIsCutOff = false;
  telemetry::EventLog mLog;
  telemetry::Metrics mMetrics;
  net::UdpSocket mSocket;
  membership::Runtime mShell;
};

/// @brief Runs the main loop until aHolds or the time is over. @return whether it held
bool runUntil(base::Duration aTimeout, const std::function<bool()>& aHolds);

/// @brief Runs the main loop for a while.
void runFor(base::Duration aTime);

} // namespace cornelcross::test
