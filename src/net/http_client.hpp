#pragma once

#include "base/time.hpp"

#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <string>
#include <variant>

namespace cornelcross::net {

/// @brief Answer to an HTTP request, whatever its status.
struct HttpClientResponse
{
  unsigned mStatus = 0;
  std::string mBody;

  auto operator<=>(const HttpClientResponse&) const = default;
};

/// @brief Why a request got no answer.
struct HttpFailure
{
  std::string mReason;

  auto operator<=>(const HttpFailure&) const = default;
};

/// @brief Outcome of one request.
using HttpResult = std::variant<HttpClientResponse, HttpFailure>;

/// @brief HTTP client for one call at a time. Each call has a deadline as a whole, and after a
/// failure the next one takes a new connection from a new port.
class HttpClient
{
public:
  /// @brief Called once with the result of each call that isn't given up.
  using Listener = std::function<void(const HttpResult&)>;

  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// @brief Starts a GET; a call in progress is given up. @param aDeadline whole milliseconds
  void get(const std::string& aUri, base::Duration aDeadline, Listener aListener);

  /// @brief Gives up the call in progress, if there is one.
  void cancel();

  /// @brief Calls made so far.
  std::uint64_t requestCount() const { return mRequestCount; }

private:
  struct Call;

  static void onResponse(GObject* aSession, GAsyncResult* aResult, gpointer aCall);
  static HttpResult resultOf(SoupMessage* aMessage, GBytes* aBytes, const GError* aError);

  SoupSession* mSession;
  std::shared_ptr<Call> mCall;
  std::uint64_t mRequestCount = 0;
};

} // namespace cornelcross::net
