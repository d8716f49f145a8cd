#pragma once

#include "flow/endpoint.hpp"
#include "platform/store/store_content.hpp"

namespace cornelcross::test {

/// @brief Serves a StoreContent over HTTP.
class StoreServer
{
public:
  /// @brief Listens on aLocal. @throws std::runtime_error if the address cannot be bound
  explicit StoreServer(flow::Endpoint aLocal);
  ~StoreServer();
  StoreServer(const StoreServer&) = delete;
  StoreServer& operator=(const StoreServer&) = delete;

  StoreContent mContent;

private:
  static void dispatch(SoupServer* aServer,
                       SoupServerMessage* aMessage,
                       const char* aPath,
                       GHashTable* aQuery,
                       gpointer aSelf);

  SoupServer* mServer;
};

} // namespace cornelcross::test
