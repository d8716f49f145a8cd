#pragma once

#include "flow/endpoint.hpp"

#include <functional>
#include <libsoup/soup.h>
#include <map>
#include <string>

namespace cornelcross::net {

/// @brief Answer to an HTTP request.
struct HttpServerResponse
{
  int mStatus = SOUP_STATUS_OK;
  std::string mType = "text/plain; charset=utf-8";
  std::string mBody;
};

/// @brief HTTP server for metrics, status and health.
class HttpServer
{
public:
  /// @brief Makes the answer to a GET.
  using Handler = std::function<HttpServerResponse()>;

  /// @brief Listens on aLocal. @throws std::runtime_error if the address can't be bound
  explicit HttpServer(flow::Endpoint aLocal);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Answers GET aPath with aHandler; other methods get status 405.
  void handle(const std::string& aPath, Handler aHandler);

private:
  static void dispatch(SoupServer* aServer,
                       SoupServerMessage* aMessage,
                       const char* aPath,
                       GHashTable* aQuery,
                       gpointer aSelf);

  SoupServer* mServer;
  std::map<std::string, Handler> mHandlers;
};

} // namespace cornelcross::net
