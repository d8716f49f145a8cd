#include "net/pull_client.hpp"

namespace cornelcross::net {

struct PullClient::Exchange
{
  ~Exchange()
  {
    if (mTimer != 0) {
      g_source_remove(mTimer);
    }
    g_clear_object(&mConnection);
    g_object_unref(mCancellable);
  }

  flow::Bytes mRequest;
  Listener mListener;
  GCancellable* mCancellable = g_cancellable_new();
  GSocketConnection* mConnection = nullptr;
  guint mTimer = 0;
};

PullClient::~PullClient()
{
  if (mExchange) {
    mExchange->mListener = nullptr;
    g_cancellable_cancel(mExchange->mCancellable);
  }
}

void PullClient::request(flow::Endpoint aPeer, flow::Bytes aRequest, Listener aListener)
{
  if (mExchange) {
    mExchange->mListener = nullptr;
    g_cancellable_cancel(mExchange->mCancellable);
  }
  mExchange = std::make_shared<Exchange>();
  mExchange->mRequest = std::move(aRequest);
  mExchange->mListener = std::move(aListener);
  const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(mDeadline);
  mExchange->mTimer =
    g_timeout_add(static_cast<guint>(deadline.count()), &PullClient::onDeadline, mExchange.get());
  GSocketClient* client = g_socket_client_new();
  g_socket_client_set_enable_proxy(client, FALSE);
  GSocketAddress* address =
    g_inet_socket_address_new_from_string(aPeer.mAddress.toString().c_str(), aPeer.mPort);
  g_socket_client_connect_async(client,
                                G_SOCKET_CONNECTABLE(address),
                                mExchange->mCancellable,
                                &PullClient::onConnected,
                                new std::shared_ptr<Exchange>(mExchange));
  g_object_unref(address);
  g_object_unref(client);
}

gboolean PullClient::onDeadline(gpointer aExchange)
{
  auto* exchange = static_cast<Exchange*>(aExchange);
  exchange->mTimer = 0;
  g_cancellable_cancel(exchange->mCancellable);
  return G_SOURCE_REMOVE;
}

void PullClient::onConnected(GObject* aClient, GAsyncResult* aResult, gpointer aExchange)
{
  const std::unique_ptr<std::shared_ptr<Exchange>> owned(
    static_cast<std::shared_ptr<Exchange>*>(aExchange));
  const std::shared_ptr<Exchange> exchange = *owned;
  exchange->mConnection =
    g_socket_client_connect_finish(G_SOCKET_CLIENT(aClient), aResult, nullptr);
  if (exchange->mConnection == nullptr) {
    finish(exchange, std::nullopt);
    return;
  }
  writeMessage(g_io_stream_get_output_stream(G_IO_STREAM(exchange->mConnection)),
               exchange->mCancellable,
               exchange->mRequest,
               [exchange](std::optional<std::size_t> aCount) {
                 if (!aCount) {
                   finish(exchange, std::nullopt);
                   return;
                 }
                 readMessage(g_io_stream_get_input_stream(G_IO_STREAM(exchange->mConnection)),
                             exchange->mCancellable,
                             [exchange](std::optional<ReceivedMessage> aReply) {
                               finish(exchange, std::move(aReply));
                             });
               });
}

void PullClient::finish(const std::shared_ptr<Exchange>& aExchange,
                        std::optional<ReceivedMessage> aReply)
{
  if (aExchange->mTimer != 0) {
    g_source_remove(aExchange->mTimer);
    aExchange->mTimer = 0;
  }
  g_clear_object(&aExchange->mConnection);
  const Listener listener = std::move(aExchange->mListener);
  aExchange->mListener = nullptr;
  if (listener) {
    listener(std::move(aReply));
  }
}

} // namespace cornelcross::net
