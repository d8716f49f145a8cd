#pragma once

#include "config/upstream_record.hpp"
#include "flow/packet_format.hpp"
#include "net/document_source.hpp"
#include "net/settings_reload_result.hpp"
#include "net/udp_socket.hpp"
#include "wire/forward.hpp"

#include <algorithm>

namespace cornelcross::net {

/// @brief HTTP page with status 200 while a process is ready and 503 otherwise.
struct HealthPage
{
  flow::Endpoint mListen;
  std::string mPath;

  auto operator<=>(const HealthPage&) const = default;
};

/// @brief Called with what the configuration service states of a record; empty without a response.
using UpstreamRecordListener = std::function<void(const std::optional<config::UpstreamRecord>&)>;

/// @brief Reads the record of the upstream with a name. Cancels a read in progress.
using UpstreamRecordReader = std::function<void(const std::string&, UpstreamRecordListener)>;

/// @brief Packet format and callbacks that adapt a process to its deployment.
struct DeploymentHooks
{
  flow::PacketFormat mPacketFormat = flow::ipv4Format();

  /// @brief Size of the largest datagram: the largest packet plus the header of a Forward message.
  std::size_t maxDatagramBytes() const
  {
    return std::min(mPacketFormat.mMaxPacketBytes + wire::kMaxForwardHeaderBytes,
                    UdpSocket::kMaxDatagramBytes);
  }

  /// Returns the endpoint to which packets for a caller are sent. Empty if they leave through a
  /// fabric.
  std::function<flow::Endpoint(flow::Endpoint)> mCallerNextHop;

  /// Makes the source of configuration documents. Empty selects the configuration service that the
  /// settings name.
  DocumentSourceFactory mDocumentSource;

  /// Reads records from the configuration service. Empty if they cannot be read.
  UpstreamRecordReader mReadUpstreamRecord;

  /// Reloads the settings; called on SIGHUP and every few seconds. Empty if they cannot change.
  std::function<SettingsReloadResult()> mReloadSettings;

  /// Health page in addition to /healthz.
  std::optional<HealthPage> mHealthPage;
};

} // namespace cornelcross::net
