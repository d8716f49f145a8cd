#pragma once

#include "membership/runtime.hpp"
#include "net/udp_socket.hpp"

#include <functional>

namespace cornelcross::test {

/// @brief Settings of a Node.
struct NodeSettings
{
  flow::Endpoint mListen;
  flow::Endpoint mConfigService;
  std::vector<flow::Endpoint> mSeeds;
  std::uint32_t mReadersPerZone = 1;
};

/// @brief A membership::Runtime behind a UDP socket that can be disconnected from the network.
class Node
{
public:
  explicit Node(const NodeSettings& aSettings);

  /// @brief Drops every datagram to and from the node while aIsCutOff is true.
  void setCutOff(bool aIsCutOff) { mIsCutOff = aIsCutOff; }

  /// @brief Returns the revision of the active configuration.
  std::uint64_t revision() const { return mRuntime.store().revision(); }

  /// @brief Returns the active configuration.
  config::ConfigurationPtr configuration() const { return mRuntime.store().configuration(); }

  /// @brief True if the active revision is confirmed, so that the node may forward packets.
  bool mayForward() { return mRuntime.mayForward(); }

  /// @brief Returns the number of requests to the configuration service.
  std::uint64_t serviceRequests() const;

private:
  bool mIsCutOff = false;
  telemetry::EventLog mLog;
  telemetry::Metrics mMetrics;
  net::UdpSocket mSocket;
  membership::Runtime mRuntime;
};

/// @brief Runs the main loop until aCondition returns true or aTimeout expires. @return the last
/// result of aCondition
bool runUntil(base::Duration aTimeout, const std::function<bool()>& aCondition);

/// @brief Runs the main loop for aTime.
void runFor(base::Duration aTime);

} // namespace cornelcross::test
