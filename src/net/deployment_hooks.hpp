#pragma once

#include "flow/packet_format.hpp"
#include "net/document_source.hpp"
#include "net/settings_reload_result.hpp"
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
struct DeploymentHooks
{
  flow::PacketFormat mPacketFormat = flow::ipv4Format();

  /// @brief Bytes of the largest datagram: a packet with the header of a message.
  std::size_t maxDatagramBytes() const
  {
    return std::min(mPacketFormat.mMaxPacketBytes + wire::kMaxForwardHeaderBytes,
                    UdpSocket::kMaxDatagramBytes);
  }

  /// Where packets for a caller are sent. Empty if they leave through a fabric.
  std::function<flow::Endpoint(flow::Endpoint)> mCallerNextHop;

  /// Empty stands for the configuration service of the settings.
  DocumentSourceFactory mDocumentSource;

  /// Reads the settings again, on SIGHUP and every few seconds. Empty if they can't change.
  std::function<SettingsReloadResult()> mReloadSettings;

  /// Besides /healthz.
  std::optional<HealthPage> mHealthPage;
};

} // namespace cornelcross::net
