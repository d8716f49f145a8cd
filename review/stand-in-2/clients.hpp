#pragma once

#include "base.hpp"
#include "packet.hpp"

#include <functional>
#include <map>
#include <optional>
#include <poll.h>
#include <random>

namespace review {

/// @brief A route of the configuration and the requests that clients send to it.
struct Route
{
  std::uint32_t mHost = 0;
  std::uint16_t mPort = 0;
  bool mIsSafe = true;
  int mRequestsPerFlow = 1;
  double mDeadline = 1.0; ///< seconds
};

/// @brief What the clients of a zone tell the script.
struct ClientHooks
{
  /// A packet goes to this node; empty if there is none.
  std::function<std::optional<std::uint32_t>(const FlowKey&)> mRouter;
  std::function<std::string(const Route&, const FlowKey&)> mOnRequest; ///< returns the request's id
  std::function<void(const std::string& aId, const std::string& aResponse)> mOnAnswer;
  std::function<void(const FlowKey&, bool aIsOpen, bool aIsSystems)> mOnReset;
  std::function<void(const std::string& aReason)> mOnForged;
};

/// @brief Stand-in for the clients of one zone.
class Clients
{
public:
  Clients(std::uint32_t aAddress,
          std::vector<Route> aRoutes,
          double aFlowsPerSecond,
          std::uint32_t aSeed,
          ClientHooks aHooks);
  ~Clients() { close(mSocket); }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  void addTo(std::vector<pollfd>& aFds) const { aFds.push_back({ mSocket, POLLIN, 0 }); }
  void onReadable(int aFd);
  void onTick();
  void stopOpening() { mFlowsPerSecond = 0; }

  /// @brief When the opening packet of a flow was first sent; empty if unknown.
  std::optional<double> openedAt(const FlowKey& aKey) const;

private:
  struct Flow
  {
    const Route* mRoute = nullptr;
    std::uint32_t mNext = 0;
    std::uint32_t mPeerNext = 0;
    bool mHasSynAck = false;
    std::uint32_t mSynCopies = 0;
    double mOpenedAt = 0;
    int mRequestsLeft = 0;
    std::string mRequestId; ///< empty unless a request waits for its answer
    std::string mRequest;
    double mSentAt = 0;
    double mInterval = 0;
    double mNextAt = 0; ///< next retransmission or request
  };

  void open();
  bool advance(const FlowKey& aKey, Flow& aFlow);
  void sendRequest(const FlowKey& aKey, Flow& aFlow);
  void onPacket(const std::string& aBytes);
  bool onSegment(const FlowKey& aKey, Flow& aFlow, const Packet& aPacket);
  void send(const FlowKey& aKey,
            const Flow& aFlow,
            std::uint8_t aFlags,
            std::uint32_t aSequence,
            const std::string& aData);

  std::uint32_t mAddress;
  std::vector<Route> mRoutes;
  double mFlowsPerSecond;
  ClientHooks mHooks;
  std::mt19937 mRandom;
  int mSocket;
  std::uint16_t mNextPort = 20000;
  double mNextOpening = 0;
  std::map<FlowKey, Flow> mFlows;
  std::map<FlowKey, double> mOpenings;
};

} // namespace review
