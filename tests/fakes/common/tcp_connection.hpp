#pragma once

#include "flow/endpoint.hpp"

#include <functional>
#include <lwip/tcp.h>
#include <memory>
#include <string>

namespace cornelcross::fakes {

/// @brief How a connection ended.
enum class TcpEnd
{
  kClosed,  ///< the peer sent FIN
  kRefused, ///< RST in answer to the SYN
  kReset,   ///< RST on an established connection
  kAborted, ///< the stack gave up
};

/// @brief One TCP connection of lwIP, used from lwIP's thread only.
class TcpConnection : public std::enable_shared_from_this<TcpConnection>
{
public:
  /// @brief Hooks; each is called from lwIP's thread.
  struct Hooks
  {
    std::function<void()> mOnConnected;
    std::function<void(const std::string&)> mOnData;
    std::function<void(TcpEnd)> mOnEnd;
  };

  /// @brief Takes over an accepted connection.
  static std::shared_ptr<TcpConnection> accept(tcp_pcb* aPcb, Hooks aHooks);

  /// @brief Opens a connection from aLocal; nullptr if the stack has no room.
  static std::shared_ptr<TcpConnection> connect(flow::Ipv4Address aLocal,
                                                flow::Endpoint aTo,
                                                Hooks aHooks);

  /// @brief Sends aData; what the window doesn't take yet is kept and sent later.
  void write(const std::string& aData);

  /// @brief Sends FIN once everything written has left.
  void close();

  /// @brief Sends RST.
  void abort();

  /// @brief Endpoint of this side.
  flow::Endpoint local() const;

  /// @brief Endpoint of the other side.
  flow::Endpoint remote() const;

private:
  TcpConnection(tcp_pcb* aPcb, Hooks aHooks);

  void attach();
  void pump();
  void end(TcpEnd aEnd);
  static err_t onConnected(void* aSelf, tcp_pcb* aPcb, err_t aError);
  static err_t onReceived(void* aSelf, tcp_pcb* aPcb, pbuf* aBuffer, err_t aError);
  static err_t onSent(void* aSelf, tcp_pcb* aPcb, u16_t aLength);
  static void onError(void* aSelf, err_t aError);

  tcp_pcb* mPcb;
  Hooks mHooks;
  std::string mPending;
  flow::Endpoint mLocal;
  flow::Endpoint mRemote;
  bool mIsConnected = false;
  bool mIsDraining = false;
  std::shared_ptr<TcpConnection> mSelf; ///< keeps the object while lwIP refers to it
};

} // namespace cornelcross::fakes
