#include "net/http_client.hpp"

namespace cornelcross::net {

struct HttpClient::Call
{
  Call() = default;
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  ~Call()
  {
    if (mTimer != 0) {
      g_source_remove(mTimer);
    }
    g_clear_object(&mMessage);
    g_object_unref(mCancellable);
  }

  HttpClient* mOwner = nullptr; ///< empty once the call was given up
  Listener mListener;
  SoupMessage* mMessage = nullptr;
  GCancellable* mCancellable = g_cancellable_new();
  guint mTimer = 0;
};

// Without a proxy resolver, whose settings would be read from the desktop's configuration.
HttpClient::HttpClient()
  : mSession(soup_session_new_with_options("proxy-resolver", nullptr, nullptr))
{
}

HttpClient::~HttpClient()
{
  giveUp();
  g_object_unref(mSession);
}

void HttpClient::giveUp()
{
  if (mCall) {
    mCall->mOwner = nullptr;
    g_cancellable_cancel(mCall->mCancellable);
    mCall.reset();
  }
}

void HttpClient::get(const std::string& aUri, base::Duration aDeadline, Listener aListener)
{
  giveUp();
  ++mCalls;
  mCall = std::make_shared<Call>();
  mCall->mOwner = this;
  mCall->mListener = std::move(aListener);
  mCall->mMessage = soup_message_new(SOUP_METHOD_GET, aUri.c_str());
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(aDeadline);
  mCall->mTimer =
    g_timeout_add(static_cast<guint>(milliseconds.count()), &HttpClient::onDeadline, mCall.get());
  soup_session_send_and_read_async(mSession,
                                   mCall->mMessage,
                                   G_PRIORITY_DEFAULT,
                                   mCall->mCancellable,
                                   &HttpClient::onResponse,
                                   new std::shared_ptr<Call>(mCall));
}

gboolean HttpClient::onDeadline(gpointer aCall)
{
  auto* call = static_cast<Call*>(aCall);
  call->mTimer = 0;
  g_cancellable_cancel(call->mCancellable);
  return G_SOURCE_REMOVE;
}

void HttpClient::onResponse(GObject* aSession, GAsyncResult* aResult, gpointer aCall)
{
  const std::unique_ptr<std::shared_ptr<Call>> owned(static_cast<std::shared_ptr<Call>*>(aCall));
  const std::shared_ptr<Call> call = *owned;
  GError* error = nullptr;
  GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(aSession), aResult, &error);
  HttpClient* owner = call->mOwner;
  if (owner != nullptr) {
    const HttpResult result = resultOf(call->mMessage, bytes, error);
    owner->mCall.reset();
    if (std::holds_alternative<HttpFailure>(result)) {
      soup_session_abort(owner->mSession); // the next call takes a new connection
    }
    call->mListener(result);
  }
  g_clear_error(&error);
  if (bytes != nullptr) {
    g_bytes_unref(bytes);
  }
}

HttpResult HttpClient::resultOf(SoupMessage* aMessage, GBytes* aBytes, const GError* aError)
{
  if (aError != nullptr) {
    const bool isLate = g_error_matches(aError, G_IO_ERROR, G_IO_ERROR_CANCELLED) == TRUE;
    return HttpFailure{ isLate ? "deadline exceeded" : aError->message };
  }
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(aBytes, &size));
  return HttpReply{ soup_message_get_status(aMessage), std::string(data, size) };
}

} // namespace cornelcross::net
