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

/// @brief Something that goes wrong, or is done on purpose, at a moment of a run.
struct Fault
{
  enum Kind
  {
    kRestartAgent,
    kRestartBalancer,
    kRestartUpstream,
    kSilenceAgent, ///< receives nothing for three seconds, then is restarted
    kToggleLeaving,
    kKinds
  };
  std::uint32_t mAtMs = 0;
  int mKind = kRestartAgent;
  std::uint32_t mIndex = 0;
};

/// @brief Balancers, agents, model upstreams and model callers over a faulty in-memory network.
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

  /// @brief Opens a connection at aAtMs with a request about every aThinkMs.
  void addCaller(std::uint32_t aAtMs, std::uint32_t aThinkMs)
  {
    const auto index = static_cast<std::uint32_t>(mCallers.size());
    mCallers.emplace_back(
      flow::Endpoint{ { 0x0A010101U + index }, 40000 }, kServiceAddress, mRandom());
    at(std::chrono::milliseconds(aAtMs), [this, index, aThinkMs] { drive(index, aThinkMs); });
  }

  void addFault(const Fault& aFault)
  {
    at(std::chrono::milliseconds(aFault.mAtMs), [this, aFault] { apply(aFault); });
  }

  /// @brief Runs for aDuration; the network loses and doubles packets until aFaultyFor has passed.
  void run(base::Duration aDuration, base::Duration aFaultyFor)
  {
    at(aFaultyFor, [this] { mLoss = 0; });
    tick();
    while (!mEvents.empty() && mEvents.begin()->first < kStart + aDuration) {
      const auto event = mEvents.extract(mEvents.begin());
      mNow = event.key();
      event.mapped()();
    }
  }

  const std::deque<ModelCaller>& callers() const { return mCallers; }
  const std::deque<ModelUpstream>& upstreams() const { return mUpstreams; }
  bool lostItsConnections(std::uint32_t aUpstream) const
  {
    return mRestarted.count(aUpstream) != 0;
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

  void at(base::Duration aDelay, std::function<void()> aEvent)
  {
    mEvents.emplace(mNow + aDelay, std::move(aEvent));
  }

  std::uint32_t pick(std::uint32_t aBound) { return mRandom() % aBound; }

  bool happens(double aProbability) { return mRandom() < aProbability * 4294967296.0; }

  /// Delivers after a random delay, in any order, perhaps not at all and perhaps twice.
  void deliver(const std::function<void()>& aArrival)
  {
    const int copies = happens(mLoss) ? 0 : happens(mLoss) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      at(std::chrono::microseconds(200 + pick(20000)), aArrival);
    }
  }

  void tick()
  {
    for (std::uint32_t i = 0; i < kBalancers; ++i) {
      for (const auto peer : mBalancers[i]->failureDetector().selectProbeTargets(mNow)) {
        send(balancerOf(i), mBalancers[i]->revision(), { peer, wire::Probe{} });
      }
    }
    for (std::uint32_t i = 0; i < kUpstreams; ++i) {
      perform(i, mAgents[i]->onProbeTimer(mNow));
      perform(i, mAgents[i]->onFlowTimer(mNow));
      perform(i, mAgents[i]->onQueueTimer(mNow));
      perform(i, mAgents[i]->onReportTimer(mNow));
    }
    at(std::chrono::milliseconds(100), [this] { tick(); });
  }

  void drive(std::uint32_t aIndex, std::uint32_t aThinkMs)
  {
    constexpr std::uint32_t kRetransmitMs = 300;
    ModelCaller& caller = mCallers[aIndex];
    if (const auto packet = caller.poll()) {
      fromCaller(*packet);
    }
    if (!caller.isWaiting() && caller.owner()) {
      if (happens(0.3) && !caller.isReset()) {
        fromCaller(caller.keepAlive());
      }
      caller.request();
      at(std::chrono::milliseconds(aThinkMs),
         [this, aIndex, aThinkMs] { drive(aIndex, aThinkMs); });
      return;
    }
    at(std::chrono::milliseconds(kRetransmitMs),
       [this, aIndex, aThinkMs] { drive(aIndex, aThinkMs); });
  }

  void fromCaller(const flow::Bytes& aPacket)
  {
    deliver([this, aPacket, balancer = pick(kBalancers)] {
      auto action = mBalancers[balancer]->route(mNow, aPacket);
      if (auto* forward = std::get_if<balancer::SendForward>(&action)) {
        forward->mForward.mPacket = aPacket;
        send(balancerOf(balancer),
             mBalancers[balancer]->revision(),
             { forward->mTo, std::move(forward->mForward) });
      }
    });
  }

  void toCaller(const flow::Bytes& aPacket)
  {
    deliver([this, aPacket] {
      const auto packet = *flow::TcpPacket::parse(aPacket);
      const std::uint32_t index = packet.mDestination.mAddress.mValue - 0x0A010101U;
      if (const auto reply = mCallers[index].receive(aPacket)) {
        fromCaller(*reply);
      }
    });
  }

  void send(flow::Endpoint aFrom, std::uint64_t aRevision, const agent::SendMessage& aSend)
  {
    deliver([this, aFrom, aRevision, aSend] {
      for (std::uint32_t i = 0; i < kUpstreams; ++i) {
        if (aSend.mTo == agentOf(i)) {
          toAgent(i, aFrom, aRevision, aSend.mMessage);
        }
      }
      for (std::uint32_t i = 0; i < kBalancers; ++i) {
        if (aSend.mTo == balancerOf(i)) {
          toBalancer(i, aFrom, aSend.mMessage);
        }
      }
    });
  }

  void toAgent(std::uint32_t aIndex,
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
      perform(aIndex, agent.onForward(mNow, aRevision, *forward));
    } else if (std::holds_alternative<wire::Probe>(aMessage)) {
      send(agentOf(aIndex), agent.revision(), { aFrom, wire::ProbeReply{} });
    }
  }

  void toBalancer(std::uint32_t aIndex, flow::Endpoint aFrom, const wire::Message& aMessage)
  {
    mBalancers[aIndex]->failureDetector().recordReply(mNow, aFrom);
    if (const auto* notice = std::get_if<wire::OwnerUpdate>(&aMessage)) {
      mBalancers[aIndex]->onOwnerUpdate(mNow, *notice);
    }
  }

  void perform(std::uint32_t aAgent, const agent::Actions& aActions)
  {
    for (const agent::Action& action : aActions) {
      if (const auto* message = std::get_if<agent::SendMessage>(&action)) {
        send(agentOf(aAgent), mAgents[aAgent]->revision(), *message);
      } else if (const auto* answer = std::get_if<agent::SendToCaller>(&action)) {
        toCaller(answer->mPacket);
      } else if (const auto* packet = std::get_if<agent::DeliverToUpstream>(&action)) {
        toUpstream(packet->mTo, packet->mPacket);
      }
    }
  }

  /// Between an agent and the upstream beside it nothing is lost.
  void toUpstream(flow::Endpoint aTo, const flow::Bytes& aPacket)
  {
    for (std::uint32_t i = 0; i < kUpstreams; ++i) {
      if (aTo.mAddress == agentOf(i).mAddress) {
        for (auto& reply : mUpstreams[i].receive(aPacket)) {
          perform(i, mAgents[i]->onUpstreamPacket(mNow, std::move(reply)));
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
        at(std::chrono::seconds(3), [this, upstream] { mAgents[upstream] = makeAgent(upstream); });
        break;
      case Fault::kRestartBalancer:
        mBalancers[balancer] = makeBalancer(balancer);
        break;
      case Fault::kRestartUpstream:
        mUpstreams[upstream].restart();
        mRestarted.insert(upstream);
        break;
      default:
        toggleLeaving(upstream);
    }
  }

  /// The change comes into force at each process after a delay of its own.
  void toggleLeaving(std::uint32_t aUpstream)
  {
    auto& state = mConfiguration.mServices.at("logbook").mUpstreams[aUpstream].mState;
    state = state == config::UpstreamState::kLeaving ? config::UpstreamState::kServing
                                                     : config::UpstreamState::kLeaving;
    ++mConfiguration.mRevision;
    const auto shared = share(mConfiguration);
    for (std::uint32_t i = 0; i < kUpstreams; ++i) {
      at(std::chrono::milliseconds(pick(3000)),
         [this, i, shared] { perform(i, mAgents[i]->apply(mNow, shared)); });
    }
    for (std::uint32_t i = 0; i < kBalancers; ++i) {
      at(std::chrono::milliseconds(pick(3000)),
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
  std::set<std::uint32_t> mRestarted;
  std::array<base::Time, kUpstreams> mSilentUntil{};
};

} // namespace cornelcross::test
