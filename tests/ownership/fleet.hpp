#pragma once

#include "membership/random.hpp"
#include "ownership/event_queue.hpp"
#include "ownership/vm.hpp"

#include <set>
#include <vector>

namespace cornelcross::test {

/// @brief The balancers, agents and upstreams of one service in three zones, the store with the
/// documents, and the network between them.
///
/// A process gets its first configuration from the store or from a peer, the retained state always
/// from a peer. Messages are delayed, reordered and lost at random.
class Fleet
{
public:
  /// Receives a packet that the process on a VM sent to a caller.
  using CallerHook = std::function<void(std::size_t aVm, const flow::Bytes& aPacket)>;

  /// Receives each packet of a caller that arrived at a running upstream.
  using ArrivalHook = std::function<void(UpstreamInstance, const flow::Bytes&, bool aIsHeld)>;

  static constexpr std::size_t kZones = 3;
  static constexpr std::size_t kBalancers = 6;
  static constexpr std::size_t kUpstreams = 15;

  Fleet(EventQueue& aEvents, membership::Random& aRandom);

  void setHooks(CallerHook aCallerHook, ArrivalHook aArrivalHook)
  {
    mCallerHook = std::move(aCallerHook);
    mArrivalHook = std::move(aArrivalHook);
  }

  /// @brief All VMs: the balancers first, then the upstreams.
  const std::vector<Vm>& vms() const { return mVms; }

  /// @brief Delivers a packet of a caller to a balancer.
  void sendFromCaller(std::size_t aBalancer, const flow::Bytes& aPacket);

  /// @brief Instance that accepted a flow with this initial sequence number.
  UpstreamInstance acceptedBy(std::uint32_t aInitialSequence) const;

  /// @brief The instance that accepted the flow still runs and holds it.
  bool isHeld(const flow::FlowKey& aFlow, std::uint32_t aInitialSequence) const;

  // Faults and planned work.
  void startProcess(std::size_t aVm);
  void endProcess(std::size_t aVm, bool aIsPlanned);
  void restartInTurn(std::size_t aVm); ///< stops an agent and starts it again, as planned work
  void startUpstream(std::size_t aVm, bool aHasNewName);
  void endUpstream(std::size_t aVm);
  void losePower(std::size_t aVm, base::Duration aDuration);
  void setZoneInService(const std::string& aZone, bool aIsInService);
  void setStoreAvailable(bool aIsAvailable);
  void stepClock(std::size_t aVm, std::chrono::milliseconds aStep);
  void blockPath(std::size_t aFrom, std::size_t aTo, base::Duration aDuration);

  /// @brief Share of the packets of callers that arrive up to 1.5 s late from now on.
  void setLateShare(double aShare) { mLateShare = aShare; }

private:
  base::Duration between(base::Duration aMin, base::Duration aMax)
  {
    return mRandom.between(aMin, aMax);
  }
  bool happens(double aProbability);
  std::uint64_t wallClockMs(const Vm& aVm) const;
  void afterWhileRunning(std::size_t aVm, base::Duration aDelay, std::function<void()> aFunction);
  void publish();
  void write(std::function<void()> aChange);
  void registerUpstream(std::size_t aVm);
  void adopt(std::size_t aVm, std::uint64_t aRevision);
  void activate(Vm& aVm, config::ConfigurationPtr aConfiguration);
  void loadConfiguration(std::size_t aVm);
  void pullRetainedState(std::size_t aVm);
  const Vm* readyPeer(std::size_t aVm);
  void tick(std::size_t aVm);
  void scheduleLookups(std::size_t aVm);
  void send(std::size_t aFrom, flow::Endpoint aTo, wire::Message aMessage);
  void receive(std::size_t aVm,
               std::size_t aFrom,
               std::uint64_t aRevision,
               const wire::Message& aMessage);
  void perform(std::size_t aVm, agent::Actions aActions);
  void sendToCaller(std::size_t aVm, flow::Bytes aPacket);
  void deliverToUpstream(std::size_t aVm, const flow::Bytes& aPacket);
  void receiveFromUpstream(std::size_t aVm, std::uint32_t aStart, flow::Bytes aPacket);

  EventQueue& mEvents;
  membership::Random& mRandom;
  CallerHook mCallerHook;
  ArrivalHook mArrivalHook;
  std::vector<Vm> mVms;
  std::map<flow::Endpoint, std::size_t> mVmByEndpoint;
  config::Configuration mDocuments;                ///< content of the store
  std::vector<config::ConfigurationPtr> mVersions; ///< published, by revision - 1
  bool mIsStoreAvailable = true;
  double mLateShare = 0;
  std::vector<std::function<void()>> mDelayedWrites; ///< while the store is away
  std::map<std::pair<std::size_t, std::size_t>, base::Time> mBlockedUntil;
  std::map<std::uint32_t, UpstreamInstance> mAcceptedBy; ///< by initial sequence number
};

} // namespace cornelcross::test
