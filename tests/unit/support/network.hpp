#pragma once

#include "agent/flow_manager.hpp"
#include "balancer/packet_router.hpp"
#include "unit/support/configuration.hpp"
#include "unit/support/model_caller.hpp"
#include "unit/support/model_upstream.hpp"

#include <array>
#include <deque>
#include <random>

namespace cornelcross::test {

/// @brief Fault or change of the configuration at a given time of a run.
struct Fault
{
  enum Kind
  {
    kRestartAgent,
    kRestartBalancer,
    kRestartUpstream,
    kSilenceAgent,  ///< the agent receives nothing for three seconds, then restarts
    kToggleLeaving, ///< an upstream starts or stops leaving
    kKindCount
  };
  std::uint32_t mAtMs = 0;
  int mKind = kRestartAgent;
  std::uint32_t mIndex = 0;
};

/// @brief Balancers, agents, model upstreams and model callers on a simulated network that loses,
/// duplicates and reorders packets.
class Network
{
public:
  static constexpr std::uint32_t kUpstreams = 4;
  static constexpr std::uint32_t kBalancers = 3;

  Network(std::uint32_t aSeed, double aLoss) : mRandom(aSeed), mLoss(aLoss)
  {
    mConfiguration = makeConfiguration(kUpstreams);
    for (std::uint32_t i = 0; i < kUpstreams; ++i) {
      mUpstreams.emplace_back(i, kServiceAddress);
      mAgents.push_back(makeAgent(i));
    }
    for (std::uint32_t i = 0; i < kBalancers; ++i) {
      mBalancers.push_back(makeBalancer(i));
    }
  }

  /// @brief Adds a caller that opens a connection aAtMs after the start of the run and pauses for
  /// aThinkMs between its requests.
  void addCaller(std::uint32_t aAtMs, std::uint32_t aThinkMs)
  {
    const auto index = static_cast<std::uint32_t>(mCallers.size());
    mCallers.emplace_back(
      flow::Endpoint{ { 0x0A010101U + index }, 40000 }, kServiceAddress, mRandom());
    schedule(std::chrono::milliseconds(aAtMs),
             [this, index, aThinkMs] { runCaller(index, aThinkMs); });
  }

  /// @brief Adds a fault that occurs Fault::mAtMs after the start of the run.
  void addFault(const Fault& aFault)
  {
    schedule(std::chrono::milliseconds(aFault.mAtMs), [this, aFault] { apply(aFault); });
  }

  /// @brief Simulates aDuration. The network loses and duplicates packets only during the first
  /// aLossDuration.
  void run(base::Duration aDuration, base::Duration aLossDuration)
  {
    schedule(aLossDuration, [this] { mLoss = 0; });
    runTimers();
    while (!mEvents.empty() && mEvents.begin()->first < kStart + aDuration) {
      const auto event = mEvents.extract(mEvents.begin());
      mNow = event.key();
      event.mapped()();
    }
  }

  const std::deque<ModelCaller>& callers() const { return mCallers; }
  const std::deque<ModelUpstream>& upstreams() const { return mUpstreams; }

  /// @brief True if the model upstream restarted, so that its connections are lost.
  bool hasRestarted(std::uint32_t aUpstream) const
  {
    return mRestartedUpstreams.count(aUpstream) != 0;
  }

private:
  static constexpr base::Time kStart{ std::chrono::seconds(100) };

  static flow::Endpoint balancerOf(std::uint32_t aIndex)
  {
    return { { 0x7F000101U + aIndex }, 7000 };
  }

  std::unique_ptr<agent::FlowManager> makeAgent(std::uint32_t aIndex)
  {
    auto agent =
      std::make_unique<agent::FlowManager>(agent::AgentSettings{ .mSelf = agentOf(aIndex) });
    agent->apply(mNow, share(mConfiguration));
    return agent;
  }

  std::unique_ptr<balancer::PacketRouter> makeBalancer(std::uint32_t aIndex)
  {
    auto balancer = std::make_unique<balancer::PacketRouter>(balancerOf(aIndex), 64);
    balancer->apply(share(mConfiguration));
    return balancer;
  }

  void schedule(base::Duration aDelay, std::function<void()> aEvent)
  {
    mEvents.emplace(mNow + aDelay, std::move(aEvent));
  }

  std::uint32_t randomBelow(std::uint32_t aBound) { return mRandom() % aBound; }

  bool randomBool(double aProbability) { return mRandom() < aProbability * 4294967296.0; }

  /// Delivers a packet after a random delay; loses or duplicates the packet with the probability
  /// mLoss. The random delays reorder packets.
  void transmit(const std::function<void()>& aArrival)
  {
    const int copies = randomBool(mLoss) ? 0 : randomBool(mLoss) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      schedule(std::chrono::microseconds(200 + randomBelow(20000)), aArrival);
    }
  }

  void runTimers()
  {
    for (std::uint32_t i = 0; i < kBalancers; ++i) {
      for (const auto peer : mBalancers[i]->failureDetector().selectProbeTargets(mNow)) {
        send(balancerOf(i), mBalancers[i]->revision(), { peer, wire::Probe{} });
      }
    }
    for (std::uint32_t i = 0; i < kUpstreams; ++i) {
      performActions(i, mAgents[i]->onProbeTimer(mNow));
      performActions(i, mAgents[i]->onFlowTimer(mNow));
      performActions(i, mAgents[i]->onQueueTimer(mNow));
      performActions(i, mAgents[i]->onReportTimer(mNow));
    }
    schedule(std::chrono::milliseconds(100), [this] { runTimers(); });
  }

  void runCaller(std::uint32_t aIndex, std::uint32_t aThinkMs)
  {
    constexpr std::uint32_t kRetransmitMs = 300;
    ModelCaller& caller = mCallers[aIndex];
    if (const auto packet = caller.poll()) {
      sendFromCaller(*packet);
    }
    if (!caller.isRequestOpen() && caller.owner()) {
      if (randomBool(0.3) && !caller.isReset()) {
        sendFromCaller(caller.keepAlive());
      }
      caller.startRequest();
      schedule(std::chrono::milliseconds(aThinkMs),
               [this, aIndex, aThinkMs] { runCaller(aIndex, aThinkMs); });
      return;
    }
    schedule(std::chrono::milliseconds(kRetransmitMs),
             [this, aIndex, aThinkMs] { runCaller(aIndex, aThinkMs); });
  }

  void sendFromCaller(const flow::Bytes& aPacket)
  {
    transmit([this, aPacket, balancer = randomBelow(kBalancers)] {
      auto action = mBalancers[balancer]->route(mNow, aPacket);
      if (auto* forward = std::get_if<balancer::SendForward>(&action)) {
        forward->mForward.mPacket = aPacket;
        send(balancerOf(balancer),
             mBalancers[balancer]->revision(),
             { forward->mTo, std::move(forward->mForward) });
      }
    });
  }

  void sendToCaller(const flow::Bytes& aPacket)
  {
    transmit([this, aPacket] {
      const auto packet = *flow::TcpPacket::parse(aPacket);
      const std::uint32_t index = packet.mDestination.mAddress.mValue - 0x0A010101U;
      if (const auto reply = mCallers[index].receive(aPacket)) {
        sendFromCaller(*reply);
      }
    });
  }

  void send(flow::Endpoint aFrom, std::uint64_t aRevision, const agent::SendMessage& aSend)
  {
    transmit([this, aFrom, aRevision, aSend] {
      for (std::uint32_t i = 0; i < kUpstreams; ++i) {
        if (aSend.mTo == agentOf(i)) {
          deliverToAgent(i, aFrom, aRevision, aSend.mMessage);
        }
      }
      for (std::uint32_t i = 0; i < kBalancers; ++i) {
        if (aSend.mTo == balancerOf(i)) {
          deliverToBalancer(i, aFrom, aSend.mMessage);
        }
      }
    });
  }

  void deliverToAgent(std::uint32_t aIndex,
                      flow::Endpoint aFrom,
                      std::uint64_t aRevision,
                      const wire::Message& aMessage)
  {
    if (mNow < mSilentUntil[aIndex]) {
      return;
    }
    agent::FlowManager& agent = *mAgents[aIndex];
    agent.failureDetector().recordReply(mNow, aFrom);
    if (const auto* forward = std::get_if<wire::Forward>(&aMessage)) {
      performActions(aIndex, agent.onForward(mNow, aRevision, *forward));
    } else if (std::holds_alternative<wire::Probe>(aMessage)) {
      send(agentOf(aIndex), agent.revision(), { aFrom, wire::ProbeReply{} });
    }
  }

  void deliverToBalancer(std::uint32_t aIndex, flow::Endpoint aFrom, const wire::Message& aMessage)
  {
    mBalancers[aIndex]->failureDetector().recordReply(mNow, aFrom);
    if (const auto* update = std::get_if<wire::OwnerUpdate>(&aMessage)) {
      mBalancers[aIndex]->onOwnerUpdate(mNow, *update);
    }
  }

  void performActions(std::uint32_t aAgent, const agent::Actions& aActions)
  {
    for (const agent::Action& action : aActions) {
      if (const auto* message = std::get_if<agent::SendMessage>(&action)) {
        send(agentOf(aAgent), mAgents[aAgent]->revision(), *message);
      } else if (const auto* reply = std::get_if<agent::SendToCaller>(&action)) {
        sendToCaller(reply->mPacket);
      } else if (const auto* delivery = std::get_if<agent::DeliverToUpstream>(&action)) {
        deliverToUpstream(delivery->mTo, delivery->mPacket);
      }
    }
  }

  /// The path between an agent and its upstream is local and loses no packets.
  void deliverToUpstream(flow::Endpoint aTo, const flow::Bytes& aPacket)
  {
    for (std::uint32_t i = 0; i < kUpstreams; ++i) {
      if (aTo.mAddress == agentOf(i).mAddress) {
        for (auto& reply : mUpstreams[i].receive(aPacket)) {
          performActions(i, mAgents[i]->onUpstreamPacket(mNow, std::move(reply)));
        }
      }
    }
  }

  void apply(const Fault& aFault)
  {
    const std::uint32_t upstream = aFault.mIndex % kUpstreams;
    const std::uint32_t balancer = aFault.mIndex % kBalancers;
    switch (aFault.mKind) {
      case Fault::kRestartAgent:
        mAgents[upstream] = makeAgent(upstream);
        break;
      case Fault::kSilenceAgent:
        mSilentUntil[upstream] = mNow + std::chrono::seconds(3);
        schedule(std::chrono::seconds(3),
                 [this, upstream] { mAgents[upstream] = makeAgent(upstream); });
        break;
      case Fault::kRestartBalancer:
        mBalancers[balancer] = makeBalancer(balancer);
        break;
      case Fault::kRestartUpstream:
        mUpstreams[upstream].restart();
        mRestartedUpstreams.insert(upstream);
        break;
      default:
        toggleLeaving(upstream);
    }
  }

  /// Each process applies the change after a random delay of its own.
  void toggleLeaving(std::uint32_t aUpstream)
  {
    auto& state = mConfiguration.mServices.at("logbook").mUpstreams[aUpstream].mState;
    state = state == config::UpstreamState::kLeaving ? config::UpstreamState::kServing
                                                     : config::UpstreamState::kLeaving;
    ++mConfiguration.mRevision;
    const auto shared = share(mConfiguration);
    for (std::uint32_t i = 0; i < kUpstreams; ++i) {
      schedule(std::chrono::milliseconds(randomBelow(3000)),
               [this, i, shared] { performActions(i, mAgents[i]->apply(mNow, shared)); });
    }
    for (std::uint32_t i = 0; i < kBalancers; ++i) {
      schedule(std::chrono::milliseconds(randomBelow(3000)),
               [this, i, shared] { mBalancers[i]->apply(shared); });
    }
  }

  std::mt19937 mRandom;
  double mLoss;
  base::Time mNow = kStart;
  std::multimap<base::Time, std::function<void()>> mEvents;
  config::Configuration mConfiguration;
  std::deque<ModelUpstream> mUpstreams;
  std::vector<std::unique_ptr<agent::FlowManager>> mAgents;
  std::vector<std::unique_ptr<balancer::PacketRouter>> mBalancers;
  std::deque<ModelCaller> mCallers;
  std::set<std::uint32_t> mRestartedUpstreams;
  std::array<base::Time, kUpstreams> mSilentUntil{};
};

} // namespace cornelcross::test
