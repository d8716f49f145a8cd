#pragma once

#include "flow/endpoint.hpp"
#include "flow/packet_edit.hpp"

#include <functional>
#include <gio/gio.h>
#include <memory>
#include <span>

namespace cornelcross::net {

/// @brief Answers questions of peers over TCP, one a connection. Connections above a bound are
/// closed at once and each has a deadline.
class PullServer
{
public:
  /// @brief Gives the reply to a request.
  using Handler = std::function<flow::Bytes(std::span<const std::byte>)>;

  /// @brief Called with the bytes of each reply on the wire.
  using Sent = std::function<void(std::size_t)>;

  /// @brief Listens on aLocal. @throws std::runtime_error if the address can't be bound
  PullServer(flow::Endpoint aLocal, Handler aHandler, Sent aSent);
  ~PullServer();
  PullServer(const PullServer&) = delete;
  PullServer& operator=(const PullServer&) = delete;

private:
  struct Connection;

  static gboolean onIncoming(GSocketService* aService,
                             GSocketConnection* aConnection,
                             GObject* aSource,
                             gpointer aSelf);
  void answer(const std::shared_ptr<Connection>& aConnection,
              std::span<const std::byte> aRequest) const;

  Handler mHandler;
  Sent mSent;
  GSocketService* mService;
  std::shared_ptr<std::size_t> mOpen = std::make_shared<std::size_t>(0);
};

} // namespace cornelcross::net
