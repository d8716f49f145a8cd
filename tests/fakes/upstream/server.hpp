#pragma once

#include "fakes/common/application_protocol.hpp"
#include "fakes/common/lwip_stack.hpp"
#include "fakes/common/tcp_connection.hpp"

#include <chrono>
#include <deque>

namespace cornelcross::fakes {

/// @brief Settings of the fake upstream.
struct ServerSettings
{
  std::string mName;
  flow::Endpoint mService;
  std::uint32_t mSlots = 1;
  std::uint32_t mQueue = 64;
  std::uint32_t mColdMs = 0;
  std::uint32_t mColdSlots = 1;
};

/// @brief Serves the fakes' protocol with a bounded number of slots. Its records are the ledger:
/// one "saved" record for each save that ran. Runs in lwIP's thread.
class Server
{
public:
  explicit Server(const ServerSettings& aSettings);

  /// @brief Starts listening.
  void start();

  /// @brief A TCP segment arrived. Records one for another service, and runs a request that comes
  /// in a SYN each time that it comes, as RFC 7413 (section 2.1) leaves it to applications.
  void onArrival(const flow::TcpPacket& aPacket, const std::string& aData);

private:
  using Connection = std::shared_ptr<TcpConnection>;

  struct Session
  {
    Connection mConnection;
    std::string mInput;
  };

  struct Job
  {
    Connection mConnection;
    AppRequest mRequest;
  };

  static err_t onAccept(void* aSelf, tcp_pcb* aPcb, err_t aError);
  void acceptConnection(tcp_pcb* aPcb);
  void onData(const std::shared_ptr<Session>& aSession, const std::string& aData);
  void onRequest(const Connection& aConnection, const AppRequest& aRequest);
  void startNext();
  void finish(const Job& aJob);
  bool isCold() const;
  std::uint32_t bearable() const { return isCold() ? mSettings.mColdSlots : mSettings.mSlots; }

  ServerSettings mSettings;
  std::chrono::steady_clock::time_point mStarted;
  std::deque<Job> mWaiting;
  std::uint32_t mRunning = 0;
};

} // namespace cornelcross::fakes
