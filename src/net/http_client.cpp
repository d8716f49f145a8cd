#include "net/http_client.hpp"

#include "net/deadline.hpp"

namespace cornelcross::net {

struct HttpClient::Call
{
  explicit Call(base::Duration aDeadline) : mDeadline(aDeadline) {}
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  ~Call() { g_clear_object(&mMessage); }

  HttpClient* mOwner = nullptr; ///< empty once the call was given up
  Listener mListener;
  SoupMessage* mMessage = nullptr;
  Deadline mDeadline;
};

// Without a proxy resolver, whose settings would be read from the desktop's configuration.
HttpClient::HttpClient()
  : mSession(soup_session_new_with_options("proxy-resolver", nullptr, nullptr))
{
}

HttpClient::~HttpClient()
{
  cancel();
  g_object_unref(mSession);
}

void HttpClient::cancel()
{
  if (mCall) {
    mCall->mOwner = nullptr;
    mCall->mDeadline.cancel();
    mCall.reset();
  }
}

void HttpClient::get(const std::string& aUri, base::Duration aDeadline, Listener aListener)
{
  cancel();
  ++mRequestCount;
  mCall = std::make_shared<Call>(aDeadline);
  mCall->mOwner = this;
  mCall->mListener = std::move(aListener);
  mCall->mMessage = soup_message_new(SOUP_METHOD_GET, aUri.c_str());
  soup_session_send_and_read_async(mSession,
                                   mCall->mMessage,
                                   G_PRIORITY_DEFAULT,
                                   mCall->mDeadline.cancellable(),
                                   &HttpClient::onResponse,
                                   new std::shared_ptr<Call>(mCall));
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
  return HttpClientResponse{ soup_message_get_status(aMessage), std::string(data, size) };
}

} // namespace cornelcross::net
