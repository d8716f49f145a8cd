#include "net/connection_attempt.hpp"

namespace cornelcross::net {

struct ConnectionAttempt::Attempt
{
  Attempt(ConnectionAttempt& aOwner, base::Duration aDeadline, Listener aListener)
    : mOwner(&aOwner), mListener(std::move(aListener)), mDeadline(aDeadline)
  {
  }

  ConnectionAttempt* mOwner; ///< empty if the attempt is cancelled
  Listener mListener;
  Deadline mDeadline;
};

ConnectionAttempt::~ConnectionAttempt()
{
  cancel();
}

void ConnectionAttempt::cancel()
{
  cancelAttempt();
  g_clear_object(&mConnection);
}

void ConnectionAttempt::cancelAttempt()
{
  if (mAttempt) {
    mAttempt->mOwner = nullptr;
    mAttempt->mDeadline.cancel();
    mAttempt.reset();
  }
}

// The socket is checked instead of a callback awaited, so that the result is current also after a
// pause of the process.
bool ConnectionAttempt::isConnected() const
{
  if (mConnection == nullptr) {
    return false;
  }
  GSocket* socket = g_socket_connection_get_socket(mConnection);
  const auto closing = static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR);
  return g_socket_condition_check(socket, closing) == 0;
}

void ConnectionAttempt::start(flow::Endpoint aPeer, Listener aListener)
{
  cancelAttempt();
  mAttempt = std::make_shared<Attempt>(*this, mDeadline, std::move(aListener));
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
  g_clear_error(&error);
  ConnectionAttempt* owner = attempt->mOwner;
  if (owner != nullptr && owner->mHoldsConnection && connection != nullptr) {
    std::swap(owner->mConnection, connection);
  }
  g_clear_object(&connection);
  if (owner != nullptr) {
    attempt->mOwner = nullptr;
    owner->mAttempt.reset();
    attempt->mListener(outcome);
  }
}

} // namespace cornelcross::net
