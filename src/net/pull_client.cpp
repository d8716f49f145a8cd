#include "net/pull_client.hpp"

#include "net/deadline.hpp"

namespace cornelcross::net {

struct PullClient::Exchange
{
  explicit Exchange(base::Duration aDeadline) : mDeadline(aDeadline) {}
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  ~Exchange() { g_clear_object(&mConnection); }

  flow::Bytes mRequest;
  Listener mListener;
  GSocketConnection* mConnection = nullptr;
  Deadline mDeadline;
};

PullClient::~PullClient()
{
  cancel();
}

void PullClient::cancel()
{
  if (mExchange) {
    mExchange->mListener = nullptr;
    mExchange->mDeadline.cancel();
  }
}

void PullClient::request(flow::Endpoint aPeer, flow::Bytes aRequest, Listener aListener)
{
  cancel();
  mExchange = std::make_shared<Exchange>(mDeadline);
  mExchange->mRequest = std::move(aRequest);
  mExchange->mListener = std::move(aListener);
  GSocketClient* client = g_socket_client_new();
  g_socket_client_set_enable_proxy(client, FALSE);
  GSocketAddress* address =
    g_inet_socket_address_new_from_string(aPeer.mAddress.toString().c_str(), aPeer.mPort);
  g_socket_client_connect_async(client,
                                G_SOCKET_CONNECTABLE(address),
                                mExchange->mDeadline.cancellable(),
                                &PullClient::onConnected,
                                new std::shared_ptr<Exchange>(mExchange));
  g_object_unref(address);
  g_object_unref(client);
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
               exchange->mDeadline.cancellable(),
               exchange->mRequest,
               [exchange](std::optional<std::size_t> aCount) {
                 if (!aCount) {
                   finish(exchange, std::nullopt);
                   return;
                 }
                 readMessage(g_io_stream_get_input_stream(G_IO_STREAM(exchange->mConnection)),
                             exchange->mDeadline.cancellable(),
                             [exchange](std::optional<ReceivedMessage> aReply) {
                               finish(exchange, std::move(aReply));
                             });
               });
}

void PullClient::finish(const std::shared_ptr<Exchange>& aExchange,
                        std::optional<ReceivedMessage> aReply)
{
  aExchange->mDeadline.stop();
  g_clear_object(&aExchange->mConnection);
  const Listener listener = std::move(aExchange->mListener);
  aExchange->mListener = nullptr;
  if (listener) {
    listener(std::move(aReply));
  }
}

} // namespace cornelcross::net
