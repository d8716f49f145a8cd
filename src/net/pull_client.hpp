#pragma once

#include "base/time.hpp"
#include "flow/endpoint.hpp"
#include "net/stream_message.hpp"

#include <memory>

namespace cornelcross::net {

/// @brief Asks a peer one question over TCP. Each question takes a new connection from a new port
/// and has a deadline for the whole exchange, so that a connection which went silent blocks
/// nothing.
class PullClient
{
public:
  /// @brief Called with the reply; empty on any error or after the deadline.
  using Listener = std::function<void(std::optional<ReceivedMessage>)>;

  /// @param aDeadline for one question as a whole; whole milliseconds
  explicit PullClient(base::Duration aDeadline) : mDeadline(aDeadline) {}
  ~PullClient();
  PullClient(const PullClient&) = delete;
  PullClient& operator=(const PullClient&) = delete;

  /// @brief Sends aRequest to aPeer. A question in progress is given up without a call.
  void request(flow::Endpoint aPeer, flow::Bytes aRequest, Listener aListener);

private:
  struct Exchange;

  void cancel();
  static void onConnected(GObject* aClient, GAsyncResult* aResult, gpointer aExchange);
  static void finish(const std::shared_ptr<Exchange>& aExchange,
                     std::optional<ReceivedMessage> aReply);

  base::Duration mDeadline;
  std::shared_ptr<Exchange> mExchange;
};

} // namespace cornelcross::net
