#pragma once

#include "base/time.hpp"

#include <functional>
#include <libsoup/soup.h>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace cornelcross::net {

/// @brief Response to an HTTP request, with any status.
struct HttpClientResponse
{
  unsigned mStatus = 0;
  std::string mBody;
  std::map<std::string, std::string> mHeaders; ///< by name in lower case

  auto operator<=>(const HttpClientResponse&) const = default;
};

/// @brief Reason why a request received no response.
struct HttpFailure
{
  std::string mReason;

  auto operator<=>(const HttpFailure&) const = default;
};

/// @brief Outcome of one request.
using HttpResult = std::variant<HttpClientResponse, HttpFailure>;

/// @brief HTTP client for one request at a time. The deadline of a request covers the whole
/// exchange. After a failure the next request uses a new connection from a new port.
class HttpClient
{
public:
  /// @brief Called once with the result of each request that is not cancelled.
  using Listener = std::function<void(const HttpResult&)>;

  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// @brief Sends a GET request and cancels a request in progress.
  /// @param aDeadline time for the whole exchange; whole milliseconds
  void get(const std::string& aUri, base::Duration aDeadline, Listener aListener);

  /// @brief Cancels the request in progress, if any, without a call of its listener.
  void cancel();

  /// @brief Number of requests sent so far.
  std::uint64_t requestCount() const { return mRequestCount; }

private:
  struct Request;

  static void onResponse(GObject* aSession, GAsyncResult* aResult, gpointer aRequest);
  static HttpResult resultOf(SoupMessage* aMessage, GBytes* aBytes, const GError* aError);

  SoupSession* mSession;
  std::shared_ptr<Request> mRequest;
  std::uint64_t mRequestCount = 0;
};

} // namespace cornelcross::net
