#include "platform/store/store_server.hpp"

#include <stdexcept>

namespace cornelcross::test {

StoreServer::StoreServer(flow::Endpoint aLocal) : mServer(soup_server_new(nullptr, nullptr))
{
  GSocketAddress* address =
    g_inet_socket_address_new_from_string(aLocal.mAddress.toString().c_str(), aLocal.mPort);
  const bool isListening =
    soup_server_listen(mServer, address, static_cast<SoupServerListenOptions>(0), nullptr) == TRUE;
  g_object_unref(address);
  if (!isListening) {
    g_object_unref(mServer);
    throw std::runtime_error("cannot listen on " + aLocal.toString());
  }
  soup_server_add_handler(mServer, nullptr, &StoreServer::dispatch, this, nullptr);
}

StoreServer::~StoreServer()
{
  soup_server_disconnect(mServer);
  g_object_unref(mServer);
}

void StoreServer::dispatch(SoupServer*,
                           SoupServerMessage* aMessage,
                           const char* aPath,
                           GHashTable*,
                           gpointer aSelf)
{
  const char* query = g_uri_get_query(soup_server_message_get_uri(aMessage));
  const auto response = static_cast<const StoreServer*>(aSelf)->mContent.respond(
    std::string(aPath) + "?" + (query == nullptr ? "" : query));
  soup_server_message_set_status(aMessage, response.mStatus, nullptr);
  for (const auto& [name, value] : response.mHeaders) {
    soup_message_headers_replace(
      soup_server_message_get_response_headers(aMessage), name.c_str(), value.c_str());
  }
  soup_server_message_set_response(
    aMessage, "application/json", SOUP_MEMORY_COPY, response.mBody.data(), response.mBody.size());
}

} // namespace cornelcross::test
