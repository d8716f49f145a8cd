#pragma once

#include "net/main_loop.hpp"
#include "net/udp_socket.hpp"

#include <random>
#include <set>

namespace cornelcross::fakes {

/// @brief How the fabric treats packets.
struct LinkQuality
{
  double mLoss = 0;       ///< probability, 0 to 1
  double mDuplicate = 0;  ///< probability, 0 to 1
  unsigned mDelayMs = 0;  ///< milliseconds, one way
  unsigned mJitterMs = 0; ///< milliseconds added at random; reorders packets

  auto operator<=>(const LinkQuality&) const = default;
};

/// @brief Fake fabric: sprays callers' packets over the balancers, one by one, and takes the
/// answers back to the caller process that an address was last seen behind.
class Relay
{
public:
  Relay(net::MainLoop& aLoop, flow::Endpoint aListen, std::uint64_t aSeed);

  /// @brief Sprays over these balancers from now on.
  void useBalancers(std::vector<flow::Endpoint> aBalancers) { mBalancers = std::move(aBalancers); }

  /// @brief Quality of every link from now on.
  void useQuality(const LinkQuality& aQuality) { mQuality = aQuality; }

  /// @brief Endpoints that callers' packets go to.
  const std::vector<flow::Endpoint>& balancers() const { return mBalancers; }

private:
  void onDatagram(std::span<const std::byte> aDatagram, flow::Endpoint aFrom);
  void send(flow::Endpoint aTo, const flow::Bytes& aPacket);
  bool happens(double aProbability);

  net::MainLoop& mLoop;
  net::UdpSocket mSocket;
  std::mt19937_64 mRandom;
  std::vector<flow::Endpoint> mBalancers;
  LinkQuality mQuality;
  std::unordered_map<std::uint32_t, flow::Endpoint> mCallers;
  std::set<std::uint32_t> mServices;
};

} // namespace cornelcross::fakes
