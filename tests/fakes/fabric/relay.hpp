#pragma once

#include "fakes/fabric/link_table.hpp"
#include "fakes/fabric/stream_port.hpp"
#include "net/main_loop.hpp"
#include "net/udp_socket.hpp"

namespace cornelcross::fakes {

/// @brief A process behind the fabric: others reach it at the fabric's own socket mAdvertised.
struct Node
{
  std::string mName;
  flow::Endpoint mAdvertised;
  flow::Endpoint mReal;

  auto operator<=>(const Node&) const = default;
};

/// @brief Fake fabric: sprays callers' packets over the balancers, one by one, takes the answers
/// back to the caller process that an address was last seen behind, and carries datagrams between
/// the processes that were added to it. Records, up to a rate, which process was sent callers'
/// packets by which.
class Relay
{
public:
  Relay(net::MainLoop& aLoop, flow::Endpoint aListen, std::uint64_t aSeed, std::string aName);

  /// @brief Sprays over these balancers from now on.
  void useBalancers(std::vector<flow::Endpoint> aBalancers) { mBalancers = std::move(aBalancers); }

  /// @brief Carries datagrams to and from this process from now on.
  void addNode(const Node& aNode);

  /// @brief Loses track of every flow that callers have open; new ones work.
  void forgetFlows() { mForgottenFlows = mFlows; }

  /// @brief State of the links.
  LinkTable& links() { return mLinks; }

private:
  struct Port
  {
    Node mNode;
    std::unique_ptr<net::UdpSocket> mSocket;
    std::unique_ptr<StreamPort> mStreams;
  };

  void onPacket(std::span<const std::byte> aDatagram, flow::Endpoint aFrom);
  void onNodeDatagram(const Port& aTo, std::span<const std::byte> aDatagram, flow::Endpoint aFrom);
  void send(net::UdpSocket& aSocket,
            flow::Endpoint aFrom,
            flow::Endpoint aTo,
            const flow::Bytes& aPacket);
  void recordDelivery(const Port& aFrom, const Port& aTo, std::span<const std::byte> aDatagram);

  net::MainLoop& mLoop;
  net::UdpSocket mSocket;
  std::string mName;
  LinkTable mLinks;
  std::mt19937_64 mRandom;
  std::vector<flow::Endpoint> mBalancers;
  std::unordered_map<std::uint32_t, flow::Endpoint> mCallers;
  std::set<std::uint32_t> mServices;
  std::set<flow::FlowKey> mFlows;
  std::set<flow::FlowKey> mForgottenFlows;
  std::map<flow::Ipv4Address, Port> mNodes;
  std::map<std::pair<std::string, std::string>, base::Time> mRecorded;
};

} // namespace cornelcross::fakes
