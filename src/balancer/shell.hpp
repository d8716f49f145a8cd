#pragma once

#include "balancer/decisions.hpp"
#include "balancer/packet_path.hpp"
#include "net/admin_server.hpp"
#include "net/config_reader.hpp"
#include "net/main_loop.hpp"
#include "net/udp_socket.hpp"
#include "wire/codec.hpp"

namespace cornelcross::balancer {

/// @brief Settings of a balancer process.
struct BalancerSettings
{
  flow::Endpoint mListen;         ///< IP in UDP from the fabric, messages from agents
  flow::Endpoint mAdvertise;      ///< where agents reach this balancer
  flow::Endpoint mAdmin;          ///< HTTP for metrics, status and health
  flow::Endpoint mConfigService;  ///< configuration service
  std::size_t mCacheCapacity = 0; ///< flows per generation of the owner cache
  std::string mName;              ///< name in logs

  auto operator<=>(const BalancerSettings&) const = default;
};

/// @brief Carries bytes between the sockets and the decisions.
class Shell
{
public:
  explicit Shell(const BalancerSettings& aSettings);

  /// @brief Runs until SIGTERM.
  void run();

private:
  void onDatagram(std::span<const std::byte> aDatagram);
  void onFrame(std::span<const std::byte> aDatagram);
  void countDrop(std::string_view aReason);
  nlohmann::json status() const;

  BalancerSettings mSettings;
  net::MainLoop mLoop;
  telemetry::EventLog mLog;
  telemetry::Metrics mMetrics;
  Decisions mDecisions;
  net::UdpSocket mSocket;
  net::ConfigReader mConfig;
  net::AdminServer mAdmin;
  PacketPath mPath;
  prometheus::Counter& mPackets;
};

} // namespace cornelcross::balancer
