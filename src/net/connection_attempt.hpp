#pragma once

#include "flow/connection_outcome.hpp"
#include "flow/endpoint.hpp"
#include "net/deadline.hpp"

#include <functional>
#include <memory>

namespace cornelcross::net {

/// @brief Tries to connect over TCP, one attempt at a time. May hold the last accepted connection.
class ConnectionAttempt
{
public:
  /// @brief Called once with the outcome of each attempt that is not cancelled.
  using Listener = std::function<void(flow::ConnectionOutcome)>;

  /// @param aDeadline        time for an attempt; whole milliseconds
  /// @param aHoldsConnection true to hold an accepted connection until another one is accepted,
  /// false to close it at once
  explicit ConnectionAttempt(base::Duration aDeadline, bool aHoldsConnection = false)
    : mDeadline(aDeadline), mHoldsConnection(aHoldsConnection)
  {
  }
  ~ConnectionAttempt();
  ConnectionAttempt(const ConnectionAttempt&) = delete;
  ConnectionAttempt& operator=(const ConnectionAttempt&) = delete;

  /// @brief Starts an attempt and cancels one in progress. A held connection stays open.
  void start(flow::Endpoint aPeer, Listener aListener);

  /// @brief Cancels the attempt in progress, if any, without a call of its listener, and closes a
  /// held connection.
  void cancel();

  /// @brief True if a connection is held and the peer has neither closed it nor sent anything.
  bool isConnected() const;

private:
  struct Attempt;

  static void onConnected(GObject* aClient, GAsyncResult* aResult, gpointer aAttempt);
  void cancelAttempt();

  base::Duration mDeadline;
  bool mHoldsConnection;
  std::shared_ptr<Attempt> mAttempt;
  GSocketConnection* mConnection = nullptr; ///< empty unless an accepted connection is held
};

} // namespace cornelcross::net
