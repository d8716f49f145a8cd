#include "fakes/fabric/stream_port.hpp"

#include <stdexcept>

namespace cornelcross::fakes {

namespace {

GSocketAddress* toAddress(flow::Endpoint aEndpoint)
{
  return g_inet_socket_address_new_from_string(aEndpoint.mAddress.toString().c_str(),
                                               aEndpoint.mPort);
}

} // namespace

StreamPort::StreamPort(flow::Endpoint aAdvertised, flow::Endpoint aReal)
  : mReal(aReal), mService(g_socket_service_new())
{
  GSocketAddress* address = toAddress(aAdvertised);
  const bool isBound = g_socket_listener_add_address(G_SOCKET_LISTENER(mService),
                                                     address,
                                                     G_SOCKET_TYPE_STREAM,
                                                     G_SOCKET_PROTOCOL_TCP,
                                                     nullptr,
                                                     nullptr,
                                                     nullptr) == TRUE;
  g_object_unref(address);
  if (!isBound) {
    throw std::runtime_error("cannot listen on " + aAdvertised.toString());
  }
  g_signal_connect(mService, "incoming", G_CALLBACK(&StreamPort::onIncoming), this);
}

StreamPort::~StreamPort()
{
  g_socket_service_stop(mService);
  g_object_unref(mService);
}

gboolean StreamPort::onIncoming(GSocketService*,
                                GSocketConnection* aCaller,
                                GObject*,
                                gpointer aSelf)
{
  GSocketClient* client = g_socket_client_new();
  GSocketAddress* address = toAddress(static_cast<StreamPort*>(aSelf)->mReal);
  g_socket_client_connect_async(client,
                                G_SOCKET_CONNECTABLE(address),
                                nullptr,
                                &StreamPort::onConnected,
                                g_object_ref(aCaller));
  g_object_unref(address);
  g_object_unref(client);
  return TRUE;
}

void StreamPort::onConnected(GObject* aClient, GAsyncResult* aResult, gpointer aCaller)
{
  auto* caller = G_IO_STREAM(aCaller);
  GSocketConnection* server =
    g_socket_client_connect_finish(G_SOCKET_CLIENT(aClient), aResult, nullptr);
  if (server == nullptr) {
    g_io_stream_close(caller, nullptr, nullptr);
  } else {
    const auto ends = static_cast<GIOStreamSpliceFlags>(G_IO_STREAM_SPLICE_CLOSE_STREAM1 |
                                                        G_IO_STREAM_SPLICE_CLOSE_STREAM2);
    g_io_stream_splice_async(
      caller, G_IO_STREAM(server), ends, G_PRIORITY_DEFAULT, nullptr, nullptr, nullptr);
    g_object_unref(server);
  }
  g_object_unref(caller);
}

} // namespace cornelcross::fakes
