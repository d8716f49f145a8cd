#pragma once

#include "base.hpp"
#include "packet.hpp"

#include <functional>
#include <map>
#include <poll.h>
#include <random>
#include <set>

namespace review {

/// @brief One start of a backend.
struct BackendStart
{
  std::string mId;
  std::string mService;
  std::string mZone;
  std::uint32_t mAddress = 0;
  std::uint64_t mBorn = 0;
};

/// @brief What a backend tells the script about the work that it gets.
struct BackendHooks
{
  /// Takes the opening packet of a flow that the backend holds from now on.
  std::function<void(const BackendStart&, const Packet&)> mOnOpening;
  /// Begins to work on a request.
  std::function<void(const BackendStart&, const Packet&, const std::string& aRequestId)> mOnRun;
  /// Receives a packet that its sender did not write so.
  std::function<void(const BackendStart&, const std::string& aReason)> mOnForged;
};

/// @brief Stand-in for a backend: flows over UDP, the health check over TCP.
class Backend
{
public:
  Backend(BackendStart aStart, BackendHooks aHooks);
  ~Backend();
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  const BackendStart& start() const { return mStart; }

  /// @brief Closes each flow after its next response and fails the health check from now on.
  void drain() { mIsDraining = true; }
  bool isDraining() const { return mIsDraining; }

  /// @brief The backend crashes and leaves its connections to the health check open, since nothing
  /// that it sends arrives any more. @return the descriptors of these connections
  std::set<int> fallSilent();

  void addTo(std::vector<pollfd>& aFds) const;
  void onReadable(int aFd);
  void onTick();

private:
  enum class State
  {
    kHalfOpen,
    kOpen,
    kEnded
  };

  struct Flow
  {
    State mState = State::kHalfOpen;
    std::uint32_t mClientInitial = 0;
    std::uint32_t mClientNext = 0;
    std::uint32_t mOwnInitial = 0;
    std::uint32_t mOwnNext = 0;
    std::string mResponse; ///< last one, sent again if its request comes again
    double mRespondAt = 0; ///< 0 unless a request is in progress
    std::string mRequestId;
    bool mHasClosed = false; ///< FIN was sent
  };

  void onPacket(const std::string& aBytes);
  void onSyn(const FlowKey& aKey, const Packet& aPacket);
  void onSegment(const FlowKey& aKey, Flow& aFlow, const Packet& aPacket);
  void send(const FlowKey& aKey,
            const Flow& aFlow,
            std::uint8_t aFlags,
            std::uint32_t aSequence,
            const std::string& aData);
  void respond(const FlowKey& aKey, Flow& aFlow);
  void sendResponse(const FlowKey& aKey, const Flow& aFlow);

  BackendStart mStart;
  BackendHooks mHooks;
  std::mt19937 mRandom;
  int mSocket;
  int mListener;
  std::set<int> mConnections;
  std::map<FlowKey, Flow> mFlows;
  bool mIsDraining = false;
};

} // namespace review
