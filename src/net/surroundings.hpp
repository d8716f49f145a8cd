#pragma once

#include "flow/packet_format.hpp"
#include "net/document_source.hpp"
#include "net/settings_change.hpp"
#include "net/udp_socket.hpp"
#include "wire/forward.hpp"

#include <algorithm>

namespace cornelcross::net {

/// @brief A page that answers 200 while a process is ready and 503 otherwise.
struct HealthPage
{
  flow::Endpoint mListen;
  std::string mPath;

  auto operator<=>(const HealthPage&) const = default;
};

/// @brief What a process meets outside the system, where that may differ between deployments.
struct Surroundings
{
  flow::PacketFormat mFormat = flow::ipv4Format();

  /// @brief Bytes of the largest datagram: a packet with the header of a message.
  std::size_t maxDatagram() const
  {
    return std::min(mFormat.mMaxPacket + wire::kMaxForwardHeader, UdpSocket::kMaxDatagram);
  }

  /// Where packets for a caller are sent. Empty if they leave through a fabric.
  std::function<flow::Endpoint(flow::Endpoint)> mCallerPath;

  /// Empty stands for the configuration service of the settings.
  DocumentSourceFactory mSource;

  /// Reads the settings again, on SIGHUP and every few seconds. Empty if they can't change.
  std::function<SettingsChange()> mReadSettings;

  /// Besides /healthz.
  std::optional<HealthPage> mHealthPage;
};

} // namespace cornelcross::net
