#include "net/http_client.hpp"

#include "net/deadline.hpp"

namespace cornelcross::net {

namespace {

std::map<std::string, std::string> headersOf(SoupMessage* aMessage)
{
  std::map<std::string, std::string> headers;
  soup_message_headers_foreach(
    soup_message_get_response_headers(aMessage),
    [](const char* aName, const char* aValue, gpointer aHeaders) {
      char* name = g_ascii_strdown(aName, -1);
      static_cast<std::map<std::string, std::string>*>(aHeaders)->insert_or_assign(name, aValue);
      g_free(name);
    },
    &headers);
  return headers;
}

} // namespace

struct HttpClient::Request
{
  explicit Request(base::Duration aDeadline) : mDeadline(aDeadline) {}
  Request(const Request&) = delete;
  Request& operator=(const Request&) = delete;
  ~Request() { g_clear_object(&mMessage); }

  HttpClient* mOwner = nullptr; ///< null once the request is cancelled
  Listener mListener;
  SoupMessage* mMessage = nullptr;
  Deadline mDeadline;
};

// Disables the proxy resolver, which would read its settings from the desktop's configuration.
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
  if (mRequest) {
    mRequest->mOwner = nullptr;
    mRequest->mDeadline.cancel();
    mRequest.reset();
  }
}

void HttpClient::get(const std::string& aUri, base::Duration aDeadline, Listener aListener)
{
  cancel();
  ++mRequestCount;
  mRequest = std::make_shared<Request>(aDeadline);
  mRequest->mOwner = this;
  mRequest->mListener = std::move(aListener);
  mRequest->mMessage = soup_message_new(SOUP_METHOD_GET, aUri.c_str());
  soup_session_send_and_read_async(mSession,
                                   mRequest->mMessage,
                                   G_PRIORITY_DEFAULT,
                                   mRequest->mDeadline.cancellable(),
                                   &HttpClient::onResponse,
                                   new std::shared_ptr<Request>(mRequest));
}

void HttpClient::onResponse(GObject* aSession, GAsyncResult* aResult, gpointer aRequest)
{
  const std::unique_ptr<std::shared_ptr<Request>> owned(
    static_cast<std::shared_ptr<Request>*>(aRequest));
  const std::shared_ptr<Request> request = *owned;
  GError* error = nullptr;
  GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(aSession), aResult, &error);
  HttpClient* owner = request->mOwner;
  if (owner != nullptr) {
    const HttpResult result = resultOf(request->mMessage, bytes, error);
    owner->mRequest.reset();
    if (std::holds_alternative<HttpFailure>(result)) {
      soup_session_abort(owner->mSession); // the next request opens a new connection
    }
    request->mListener(result);
  }
  g_clear_error(&error);
  if (bytes != nullptr) {
    g_bytes_unref(bytes);
  }
}

HttpResult HttpClient::resultOf(SoupMessage* aMessage, GBytes* aBytes, const GError* aError)
{
  if (aError != nullptr) {
    // Results of cancelled requests are discarded, so only the deadline can have cancelled this
    // one.
    const bool isCancelled = g_error_matches(aError, G_IO_ERROR, G_IO_ERROR_CANCELLED) == TRUE;
    return HttpFailure{ isCancelled ? "deadline exceeded" : aError->message };
  }
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(aBytes, &size));
  return HttpClientResponse{ soup_message_get_status(aMessage),
                             std::string(data, size),
                             headersOf(aMessage) };
}

} // namespace cornelcross::net
