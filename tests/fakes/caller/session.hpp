#pragma once

#include "fakes/caller/tally.hpp"
#include "fakes/common/application_protocol.hpp"
#include "fakes/common/lwip_stack.hpp"
#include "fakes/common/tcp_connection.hpp"

namespace cornelcross::fakes {

/// @brief What one session does.
struct SessionPlan
{
  std::string mName;                         ///< of the caller process, in records
  std::string mId;                           ///< prefix of its requests' ids
  std::string mKind;                         ///< kind of its requests
  flow::Ipv4Address mSource;                 ///< address of the caller
  flow::Endpoint mService;                   ///< address of the service
  std::uint32_t mRequests = 1;               ///< requests in turn on one connection
  std::uint32_t mSize = 0;                   ///< bytes of each answer
  std::uint32_t mWorkMs = 0;                 ///< time that each request takes a slot
  std::uint32_t mThinkMs = 0;                ///< pause after an answer
  std::uint32_t mDeadlineMs = 0;             ///< an answer later than this counts as broken
  std::function<void(std::string)> mSynData; ///< sends data in the next SYN; empty for none
};

/// @brief One connection with its requests. Checks that each answer belongs to its request and is
/// whole. Runs in lwIP's thread.
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(SessionPlan aPlan, Tally& aTally);

  /// @brief Connects and runs the plan.
  void start();

private:
  void sendNext();
  std::string requestLine() const;
  void onData(const std::string& aData);
  void onEnd(TcpEnd aEnd);
  bool takeAnswer();
  void finishRequest(const AppAnswer& aAnswer, const std::string& aBody);
  void finish(const std::string& aOutcome);
  void watch(std::uint32_t aRequest);
  std::string requestId() const { return mPlan.mId + "-" + std::to_string(mRequest); }

  SessionPlan mPlan;
  Tally& mTally;
  std::shared_ptr<TcpConnection> mConnection;
  std::string mInput;
  std::uint32_t mRequest = 0;
  bool mIsConnected = false;
  bool mIsWaiting = false;
  bool mIsOver = false;
};

} // namespace cornelcross::fakes
