#pragma once

#include "base/time.hpp"
#include "flow/endpoint.hpp"
#include "net/stream_message.hpp"

#include <memory>

namespace cornelcross::net {

/// @brief Sends pull requests to peers over TCP, one at a time. Each request uses a new connection
/// from a new port and has a deadline for the whole exchange, so a silent connection blocks no
/// later request.
class PullClient
{
public:
  /// @brief Called with the reply; empty on any error or after the deadline.
  using Listener = std::function<void(std::optional<ReceivedMessage>)>;

  /// @param aDeadline time for one whole exchange; whole milliseconds
  explicit PullClient(base::Duration aDeadline) : mDeadline(aDeadline) {}
  ~PullClient();
  PullClient(const PullClient&) = delete;
  PullClient& operator=(const PullClient&) = delete;

  /// @brief Sends aRequest to aPeer. Cancels a request in progress without a call of its listener.
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
