#pragma once

#include "flow/endpoint.hpp"

#include <gio/gio.h>

namespace cornelcross::fakes {

/// @brief Carries TCP connections to a process's advertised endpoint on to its real one. The
/// sender of a connection can't be told on loopback, so that cuts of single links don't stop it.
class StreamPort
{
public:
  /// @brief Listens on aAdvertised. @throws std::runtime_error if it can't be bound
  StreamPort(flow::Endpoint aAdvertised, flow::Endpoint aReal);
  ~StreamPort();
  StreamPort(const StreamPort&) = delete;
  StreamPort& operator=(const StreamPort&) = delete;

private:
  static gboolean onIncoming(GSocketService* aService,
                             GSocketConnection* aCaller,
                             GObject* aSource,
                             gpointer aSelf);
  static void onConnected(GObject* aClient, GAsyncResult* aResult, gpointer aCaller);

  flow::Endpoint mReal;
  GSocketService* mService;
};

} // namespace cornelcross::fakes
