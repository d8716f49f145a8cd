#include "net/port_check.hpp"

namespace cornelcross::net {

struct PortCheck::Check
{
  Check() = default;
  Check(const Check&) = delete;
  Check& operator=(const Check&) = delete;

  ~Check()
  {
    if (mTimer != 0) {
      g_source_remove(mTimer);
    }
    g_object_unref(mCancellable);
  }

  PortCheck* mOwner = nullptr; ///< empty once the owner is gone
  Listener mListener;
  GCancellable* mCancellable = g_cancellable_new();
  guint mTimer = 0;
};

PortCheck::~PortCheck()
{
  if (mCheck) {
    mCheck->mOwner = nullptr;
    g_cancellable_cancel(mCheck->mCancellable);
  }
}

void PortCheck::start(flow::Endpoint aEndpoint, Listener aListener)
{
  if (mCheck) {
    return;
  }
  mCheck = std::make_shared<Check>();
  mCheck->mOwner = this;
  mCheck->mListener = std::move(aListener);
  const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(mDeadline);
  mCheck->mTimer =
    g_timeout_add(static_cast<guint>(deadline.count()), &PortCheck::onDeadline, mCheck.get());
  GSocketClient* client = g_socket_client_new();
  g_socket_client_set_enable_proxy(client, FALSE);
  GSocketAddress* address =
    g_inet_socket_address_new_from_string(aEndpoint.mAddress.toString().c_str(), aEndpoint.mPort);
  g_socket_client_connect_async(client,
                                G_SOCKET_CONNECTABLE(address),
                                mCheck->mCancellable,
                                &PortCheck::onConnected,
                                new std::shared_ptr<Check>(mCheck));
  g_object_unref(address);
  g_object_unref(client);
}

gboolean PortCheck::onDeadline(gpointer aCheck)
{
  auto* check = static_cast<Check*>(aCheck);
  check->mTimer = 0;
  g_cancellable_cancel(check->mCancellable);
  return G_SOURCE_REMOVE;
}

void PortCheck::onConnected(GObject* aClient, GAsyncResult* aResult, gpointer aCheck)
{
  const std::unique_ptr<std::shared_ptr<Check>> owned(static_cast<std::shared_ptr<Check>*>(aCheck));
  const std::shared_ptr<Check> check = *owned;
  GError* error = nullptr;
  GSocketConnection* connection =
    g_socket_client_connect_finish(G_SOCKET_CLIENT(aClient), aResult, &error);
  const bool isRefused =
    connection == nullptr && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
  g_clear_error(&error);
  if (connection != nullptr) {
    g_object_unref(connection);
  }
  if (check->mOwner != nullptr) {
    check->mOwner->mCheck.reset();
    check->mListener(isRefused);
  }
}

} // namespace cornelcross::net
