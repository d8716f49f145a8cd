#include "net/http_server.hpp"

#include <stdexcept>

namespace cornelcross::net {

HttpServer::HttpServer(flow::Endpoint aLocal) : mServer(soup_server_new(nullptr, nullptr))
{
  GError* error = nullptr;
  GSocketAddress* address =
    g_inet_socket_address_new_from_string(aLocal.mAddress.toString().c_str(), aLocal.mPort);
  const bool isListening =
    soup_server_listen(mServer, address, static_cast<SoupServerListenOptions>(0), &error) == TRUE;
  g_object_unref(address);
  if (!isListening) {
    const std::string message = "cannot listen on " + aLocal.toString() + ": " + error->message;
    g_error_free(error);
    g_object_unref(mServer);
    throw std::runtime_error(message);
  }
}

HttpServer::~HttpServer()
{
  soup_server_disconnect(mServer);
  g_object_unref(mServer);
}

void HttpServer::handle(const std::string& aPath, Handler aHandler)
{
  mHandlers[aPath] = std::move(aHandler);
  soup_server_add_handler(mServer, aPath.c_str(), &HttpServer::dispatch, this, nullptr);
}

void HttpServer::dispatch(SoupServer*,
                          SoupServerMessage* aMessage,
                          const char* aPath,
                          GHashTable*,
                          gpointer aSelf)
{
  const auto* self = static_cast<HttpServer*>(aSelf);
  const auto found = self->mHandlers.find(aPath);
  if (found == self->mHandlers.end()) {
    soup_server_message_set_status(aMessage, SOUP_STATUS_NOT_FOUND, nullptr);
    return;
  }
  if (soup_server_message_get_method(aMessage) != SOUP_METHOD_GET) {
    soup_server_message_set_status(aMessage, SOUP_STATUS_METHOD_NOT_ALLOWED, nullptr);
    return;
  }
  const HttpServerResponse response = found->second();
  soup_server_message_set_status(aMessage, static_cast<guint>(response.mStatus), nullptr);
  soup_server_message_set_response(aMessage,
                                   response.mContentType.c_str(),
                                   SOUP_MEMORY_COPY,
                                   response.mBody.data(),
                                   response.mBody.size());
}

} // namespace cornelcross::net
