#include "net/connection_attempt.hpp"

namespace cornelcross::net {

struct ConnectionAttempt::Attempt
{
  Attempt(base::Duration aDeadline, bool aHoldsConnection)
    : mDeadline(aDeadline), mHoldsConnection(aHoldsConnection)
  {
  }
  ~Attempt() { g_clear_object(&mConnection); }
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  Listener mListener;
  Deadline mDeadline;
  bool mHoldsConnection;
  GSocketConnection* mConnection = nullptr; ///< empty unless an accepted connection is held
};

ConnectionAttempt::~ConnectionAttempt()
{
  cancel();
}

void ConnectionAttempt::cancel()
{
  if (mAttempt) {
    mAttempt->mListener = nullptr;
    mAttempt->mDeadline.cancel();
    mAttempt.reset();
  }
}

// The socket is checked instead of a callback awaited, so that the result is current also after a
// pause of the process.
bool ConnectionAttempt::isConnected() const
{
  if (!mAttempt || mAttempt->mConnection == nullptr) {
    return false;
  }
  GSocket* socket = g_socket_connection_get_socket(mAttempt->mConnection);
  const auto closing = static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR);
  return g_socket_condition_check(socket, closing) == 0;
}

void ConnectionAttempt::start(flow::Endpoint aPeer, Listener aListener)
{
  cancel();
  mAttempt = std::make_shared<Attempt>(mDeadline, mHoldsConnection);
  mAttempt->mListener = std::move(aListener);
  GSocketClient* client = g_socket_client_new();
  g_socket_client_set_enable_proxy(client, FALSE);
  GSocketAddress* address =
    g_inet_socket_address_new_from_string(aPeer.mAddress.toString().c_str(), aPeer.mPort);
  g_socket_client_connect_async(client,
                                G_SOCKET_CONNECTABLE(address),
                                mAttempt->mDeadline.cancellable(),
                                &ConnectionAttempt::onConnected,
                                new std::shared_ptr<Attempt>(mAttempt));
  g_object_unref(address);
  g_object_unref(client);
}

void ConnectionAttempt::onConnected(GObject* aClient, GAsyncResult* aResult, gpointer aAttempt)
{
  const std::unique_ptr<std::shared_ptr<Attempt>> owned(
    static_cast<std::shared_ptr<Attempt>*>(aAttempt));
  const std::shared_ptr<Attempt> attempt = *owned;
  attempt->mDeadline.stop();
  GError* error = nullptr;
  GSocketConnection* connection =
    g_socket_client_connect_finish(G_SOCKET_CLIENT(aClient), aResult, &error);
  const bool isRefused = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
  const auto outcome = connection != nullptr ? flow::ConnectionOutcome::kAccepted
                       : isRefused           ? flow::ConnectionOutcome::kRefused
                                             : flow::ConnectionOutcome::kFailed;
  if (attempt->mHoldsConnection) {
    attempt->mConnection = connection;
  } else {
    g_clear_object(&connection);
  }
  g_clear_error(&error);
  const Listener listener = std::move(attempt->mListener);
  attempt->mListener = nullptr;
  if (listener) {
    listener(outcome);
  }
}

} // namespace cornelcross::net
