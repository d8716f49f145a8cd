#pragma once

#include "flow/packet_edit.hpp"

#include <functional>
#include <lwip/netif.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cornelcross::fakes {

/// @brief A TCP stack (lwIP) whose IP packets travel in UDP datagrams.
///
/// All of its callbacks run in lwIP's thread. Initial sequence numbers are shifted by a secret of
/// the flow, since lwIP's own are nearly the same in every process and real stacks' are not
/// (RFC 6528).
class LwipStack
{
public:
  /// @param aListen where packets for this stack arrive in UDP
  /// @param aPeer   where its packets are sent
  LwipStack(flow::Endpoint aListen, flow::Endpoint aPeer);
  LwipStack(const LwipStack&) = delete;
  LwipStack& operator=(const LwipStack&) = delete;

  /// @brief Adds an address that the stack answers for.
  void addAddress(flow::Ipv4Address aAddress);

  /// @brief Calls aObserver in lwIP's thread for each TCP segment that arrives, before lwIP sees
  /// it.
  void onArrival(std::function<void(const flow::TcpPacket&, std::string)> aObserver)
  {
    mObserver = std::move(aObserver);
  }

  /// @brief Sends aData in the SYN of the next connection and in its retransmissions (RFC 7413).
  void sendInNextSyn(std::string aData) { mNextSynData = std::move(aData); }

  /// @brief Starts receiving; call once all addresses are added.
  void start();

  /// @brief Runs aTask in lwIP's thread and waits for it.
  static void run(const std::function<void()>& aTask);

  /// @brief Runs aTask in lwIP's thread after aMilliseconds; call from that thread.
  static void after(unsigned aMilliseconds, std::function<void()> aTask);

private:
  static err_t output(netif* aNetif, pbuf* aBuffer, const ip4_addr_t* aTo);
  static err_t initialize(netif* aNetif);
  void send(pbuf* aBuffer);
  void appendSynData(flow::Bytes& aBytes, const flow::TcpPacket& aPacket);
  std::uint32_t synDataLength(const flow::FlowKey& aFlow);
  void observe(const flow::TcpPacket& aPacket, const flow::Bytes& aBytes) const;
  void receive();
  std::uint32_t shiftOf(const flow::FlowKey& aFlow) const;

  int mSocket;
  flow::Endpoint mPeer;
  std::uint64_t mSecret;
  std::vector<std::unique_ptr<netif>> mInterfaces;
  std::function<void(const flow::TcpPacket&, std::string)> mObserver;
  std::string mNextSynData;
  std::mutex mSynDataLock; ///< guards mSynData, which both threads use
  std::map<flow::FlowKey, std::string> mSynData;
};

} // namespace cornelcross::fakes
