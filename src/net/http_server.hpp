#pragma once

#include "flow/endpoint.hpp"

#include <functional>
#include <libsoup/soup.h>
#include <map>
#include <string>

namespace cornelcross::net {

/// @brief Response to an HTTP request.
struct HttpServerResponse
{
  int mStatus = SOUP_STATUS_OK;
  std::string mContentType = "text/plain; charset=utf-8";
  std::string mBody;
};

/// @brief HTTP server with one handler per path.
class HttpServer
{
public:
  /// @brief Makes the response to a GET request.
  using Handler = std::function<HttpServerResponse()>;

  /// @brief Listens on aLocal. @throws std::runtime_error if the address cannot be bound
  explicit HttpServer(flow::Endpoint aLocal);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Serves GET requests for aPath with aHandler; other methods receive status 405.
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
