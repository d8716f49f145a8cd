#pragma once

#include "base/time.hpp"
#include "flow/endpoint.hpp"

#include <functional>
#include <gio/gio.h>
#include <memory>

namespace cornelcross::net {

/// @brief Looks whether a process listens at a TCP endpoint, by a connection that is closed at
/// once.
class PortCheck
{
public:
  /// @brief Called with true if the endpoint refused the connection; with false if it accepted it,
  /// or if there was no answer in time.
  using Listener = std::function<void(bool)>;

  /// @param aDeadline for one check; whole milliseconds
  explicit PortCheck(base::Duration aDeadline) : mDeadline(aDeadline) {}
  ~PortCheck();
  PortCheck(const PortCheck&) = delete;
  PortCheck& operator=(const PortCheck&) = delete;

  /// @brief Starts a check unless one is in progress.
  void start(flow::Endpoint aEndpoint, Listener aListener);

private:
  struct Check;

  static void onConnected(GObject* aClient, GAsyncResult* aResult, gpointer aCheck);
  static gboolean onDeadline(gpointer aCheck);

  base::Duration mDeadline;
  std::shared_ptr<Check> mCheck;
};

} // namespace cornelcross::net
