#pragma once

#include "flow/endpoint.hpp"
#include "flow/packet_edit.hpp"

#include <functional>
#include <gio/gio.h>
#include <memory>
#include <span>

namespace cornelcross::net {

/// @brief Serves pull requests of peers over TCP, one per connection. Each connection has a
/// deadline; connections beyond a maximum number are closed at once.
class PullServer
{
public:
  /// @brief Returns the reply to a request.
  using Handler = std::function<flow::Bytes(std::span<const std::byte>)>;

  /// @brief Called with the size of each reply on the wire, in bytes; 0 if it could not be sent.
  using ReplySentHook = std::function<void(std::size_t)>;

  /// @brief Listens on aLocal. @throws std::runtime_error if the address cannot be bound
  PullServer(flow::Endpoint aLocal, Handler aHandler, ReplySentHook aOnReplySent);
  ~PullServer();
  PullServer(const PullServer&) = delete;
  PullServer& operator=(const PullServer&) = delete;

private:
  struct Connection;

  static gboolean onIncoming(GSocketService* aService,
                             GSocketConnection* aConnection,
                             GObject* aSource,
                             gpointer aSelf);
  void sendReply(const std::shared_ptr<Connection>& aConnection,
                 std::span<const std::byte> aRequest) const;

  Handler mHandler;
  ReplySentHook mOnReplySent;
  GSocketService* mService;
  std::shared_ptr<std::size_t> mOpenConnections = std::make_shared<std::size_t>(0);
};

} // namespace cornelcross::net
