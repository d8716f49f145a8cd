#include "net/pull_server.hpp"

#include "net/deadline.hpp"
#include "net/stream_message.hpp"

#include <stdexcept>

namespace cornelcross::net {

namespace {

constexpr std::size_t kMaxConnections = 32;
constexpr base::Duration kConnectionDeadline = std::chrono::seconds(5); // whole exchange

} // namespace

struct PullServer::Connection
{
  Connection(GSocketConnection* aStream, std::shared_ptr<std::size_t> aOpenConnections)
    : mStream(G_IO_STREAM(g_object_ref(aStream))), mOpenConnections(std::move(aOpenConnections))
  {
    ++*mOpenConnections;
  }

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  ~Connection()
  {
    --*mOpenConnections;
    g_object_unref(mStream);
  }

  GIOStream* mStream;
  std::shared_ptr<std::size_t> mOpenConnections;
  Deadline mDeadline{ kConnectionDeadline };
};

PullServer::PullServer(flow::Endpoint aLocal, Handler aHandler, ReplySentHook aOnReplySent)
  : mHandler(std::move(aHandler))
  , mOnReplySent(std::move(aOnReplySent))
  , mService(g_socket_service_new())
{
  GError* error = nullptr;
  GSocketAddress* address =
    g_inet_socket_address_new_from_string(aLocal.mAddress.toString().c_str(), aLocal.mPort);
  const gboolean isListening = g_socket_listener_add_address(G_SOCKET_LISTENER(mService),
                                                             address,
                                                             G_SOCKET_TYPE_STREAM,
                                                             G_SOCKET_PROTOCOL_TCP,
                                                             nullptr,
                                                             nullptr,
                                                             &error);
  g_object_unref(address);
  if (isListening == FALSE) {
    const std::string message = "cannot listen on " + aLocal.toString() + ": " + error->message;
    g_error_free(error);
    g_object_unref(mService);
    throw std::runtime_error(message);
  }
  g_signal_connect(mService, "incoming", G_CALLBACK(&PullServer::onIncoming), this);
}

PullServer::~PullServer()
{
  g_signal_handlers_disconnect_by_data(mService, this);
  g_socket_service_stop(mService);
  g_socket_listener_close(G_SOCKET_LISTENER(mService));
  g_object_unref(mService);
}

gboolean PullServer::onIncoming(GSocketService*,
                                GSocketConnection* aConnection,
                                GObject*,
                                gpointer aSelf)
{
  const auto* self = static_cast<const PullServer*>(aSelf);
  if (*self->mOpenConnections >= kMaxConnections) {
    return TRUE; // closes the connection without a reply; the peer tries another one
  }
  auto connection = std::make_shared<Connection>(aConnection, self->mOpenConnections);
  readMessage(g_io_stream_get_input_stream(connection->mStream),
              connection->mDeadline.cancellable(),
              [self, connection](const std::optional<ReceivedMessage>& aRequest) {
                if (aRequest) {
                  self->sendReply(connection, aRequest->mBody);
                }
              });
  return TRUE;
}

void PullServer::sendReply(const std::shared_ptr<Connection>& aConnection,
                           std::span<const std::byte> aRequest) const
{
  writeMessage(g_io_stream_get_output_stream(aConnection->mStream),
               aConnection->mDeadline.cancellable(),
               mHandler(aRequest),
               [onReplySent = mOnReplySent, aConnection](std::optional<std::size_t> aCount) {
                 onReplySent(aCount.value_or(0));
               });
}

} // namespace cornelcross::net
