#pragma once

#include "agent/flow_manager.hpp"
#include "balancer/packet_router.hpp"
#include "unit/support/actions.hpp"
#include "unit/support/configuration.hpp"
#include "unit/support/sealed_packets.hpp"

#include <deque>
#include <map>
#include <set>

namespace cornelcross::test {

/// @brief One balancer, the agents of all upstreams of a configuration, and model upstreams that
/// return the packets of flows that they do not have. Messages arrive at once and in order; time
/// passes only in advance().
class AgentGroup
{
public:
  static constexpr base::Time kAppliedAt{ std::chrono::seconds(0) };

  /// @brief Adds an agent that had its configuration for long enough to have a record of each flow.
  void addAgent(flow::Endpoint aAgent)
  {
    mAgents[aAgent] = std::make_unique<agent::FlowManager>(
      agent::AgentSettings{ .mSelf = aAgent, .mRecoveryWindow = std::chrono::seconds(60) },
      platform::packetFormat());
  }

  /// @brief Adds the agents of all upstreams of aConfiguration, which becomes active everywhere.
  void addAll(const config::Configuration& aConfiguration)
  {
    for (const auto& [name, service] : aConfiguration.mServices) {
      for (const config::Upstream& upstream : service.mUpstreams) {
        addAgent(upstream.mAgent);
      }
    }
    mBalancer.apply(share(aConfiguration));
    applyToAgents(aConfiguration);
  }

  void applyToAgents(const config::Configuration& aConfiguration)
  {
    const auto shared = share(aConfiguration);
    for (auto& [endpoint, agent] : mAgents) {
      agent->apply(kAppliedAt, shared);
    }
  }

  /// @brief Replaces an agent by one that has just started beside its upstream.
  void restartAgent(flow::Endpoint aAgent, const config::Configuration& aConfiguration)
  {
    addAgent(aAgent);
    mAgents.at(aAgent)->apply(mNow, share(aConfiguration));
  }

  /// @brief Gives a flow to an upstream whose agent has no record of the flow.
  void giveFlow(flow::Endpoint aAgent, const flow::FlowKey& aFlow) { mOwner[aFlow] = aAgent; }

  /// @brief Opens a flow at an upstream through its agent, which then has a record of the flow.
  void openFlow(flow::Endpoint aAgent, const flow::FlowKey& aFlow)
  {
    giveFlow(aAgent, aFlow);
    wire::Forward syn;
    syn.mCandidates = { aAgent };
    syn.mIsLastPage = true;
    syn.mPacket = makeSealed({ aFlow.mCaller, aFlow.mService, kSealedSyn, kInitialSequence, 0 });
    agent::FlowManager& agent = *mAgents.at(aAgent);
    agent.onForward(mNow, agent.revision(), syn);
    agent.onUpstreamPacket(mNow,
                           makeSealed({ aFlow.mService,
                                        aFlow.mCaller,
                                        kSealedSyn | kSealedAck,
                                        kUpstreamInitialSequence,
                                        kInitialSequence + 1 }));
    syn.mPacket = packetOf(aFlow);
    agent.onForward(mNow, agent.revision(), syn);
  }

  /// @brief Sends a packet of an established flow through the balancer and runs until no message is
  /// left.
  void sendFromCaller(const flow::FlowKey& aFlow)
  {
    const flow::Bytes packet = packetOf(aFlow);
    auto action = mBalancer.route(mNow, packet);
    if (auto* sent = std::get_if<balancer::SendForward>(&action)) {
      sent->mForward.mPacket = packet;
      mMessages.push_back({ mBalancerEndpoint, mBalancer.revision(), sent->mTo, sent->mForward });
    }
    deliverMessages();
  }

  /// @brief Lets time pass, with a call of the agents' timer every 100 ms.
  void advance(base::Duration aDuration)
  {
    constexpr base::Duration kTimerInterval = std::chrono::milliseconds(100);
    for (const base::Time end = mNow + aDuration; mNow < end;) {
      mNow += kTimerInterval;
      for (auto& [endpoint, agent] : mAgents) {
        perform(endpoint, agent->onProbeTimer(mNow));
      }
      deliverMessages();
    }
  }

  static flow::FlowKey flowOf(std::uint32_t aIndex, flow::Endpoint aAddress = kServiceAddress)
  {
    return { { { 0x64400000U + aIndex / 1000 }, static_cast<std::uint16_t>(1 + aIndex % 1000) },
             aAddress };
  }

  base::Time mNow{ std::chrono::seconds(100) };
  flow::Endpoint mBalancerEndpoint = *flow::Endpoint::parse("127.0.1.1:7000");
  balancer::PacketRouter mBalancer{ mBalancerEndpoint, 100, platform::packetFormat(), true };
  std::map<flow::Endpoint, std::unique_ptr<agent::FlowManager>> mAgents;

  std::set<flow::Endpoint> mSilent;         ///< agents that get no message
  std::set<flow::Endpoint> mIgnoresLookups; ///< agents of an earlier version

  // What happened so far.
  std::vector<flow::Endpoint> mVisited; ///< agents that got a packet, a lookup of its flow or both
  std::set<flow::FlowKey> mReset;
  std::vector<telemetry::Event> mResetEvents;         ///< log lines of these resets
  std::map<flow::FlowKey, flow::Endpoint> mDelivered; ///< flows that reached their upstream
  std::size_t mDeliveries = 0;      ///< packets that reached the upstream of their flow
  std::size_t mReturnedPackets = 0; ///< packets that reached another upstream
  std::size_t mForwardMessages = 0;
  std::size_t mLookupMessages = 0; ///< lookups and replies

private:
  static constexpr std::uint32_t kInitialSequence = 1000;
  static constexpr std::uint32_t kUpstreamInitialSequence = 77000;

  struct Message
  {
    flow::Endpoint mFrom;
    std::uint64_t mRevision = 0;
    flow::Endpoint mTo;
    wire::Message mContent;
  };

  static flow::Bytes packetOf(const flow::FlowKey& aFlow)
  {
    return makeSealed({ aFlow.mCaller,
                        aFlow.mService,
                        kSealedAck,
                        kInitialSequence + 1,
                        kUpstreamInitialSequence + 1,
                        10 });
  }

  void deliverMessages()
  {
    while (!mMessages.empty()) {
      const Message message = std::move(mMessages.front());
      mMessages.pop_front();
      receive(message);
    }
  }

  void receive(const Message& aMessage)
  {
    const auto found = mAgents.find(aMessage.mTo);
    if (found == mAgents.end() || mSilent.contains(aMessage.mTo)) {
      return;
    }
    agent::FlowManager& agent = *found->second;
    if (const auto* forward = std::get_if<wire::Forward>(&aMessage.mContent)) {
      ++mForwardMessages;
      mVisited.push_back(aMessage.mTo);
      perform(aMessage.mTo, agent.onForward(mNow, aMessage.mRevision, *forward));
    } else if (const auto* lookup = std::get_if<wire::OwnerLookup>(&aMessage.mContent)) {
      ++mLookupMessages;
      if (!mIgnoresLookups.contains(aMessage.mTo)) {
        mVisited.push_back(aMessage.mTo);
        perform(aMessage.mTo, agent.onOwnerLookup(mNow, aMessage.mFrom, *lookup));
      }
    } else if (const auto* reply = std::get_if<wire::OwnerLookupReply>(&aMessage.mContent)) {
      ++mLookupMessages;
      perform(aMessage.mTo,
              agent.onOwnerLookupReply(mNow, aMessage.mFrom, aMessage.mRevision, *reply));
    } else if (std::holds_alternative<wire::Probe>(aMessage.mContent)) {
      mMessages.push_back({ aMessage.mTo, agent.revision(), aMessage.mFrom, wire::ProbeReply{} });
    } else if (std::holds_alternative<wire::ProbeReply>(aMessage.mContent)) {
      agent.failureDetector().recordReply(mNow, aMessage.mFrom);
    }
  }

  void perform(flow::Endpoint aAgent, const agent::Actions& aActions)
  {
    for (const agent::Action& action : aActions) {
      if (const auto* message = std::get_if<agent::SendMessage>(&action)) {
        mMessages.push_back(
          { aAgent, mAgents.at(aAgent)->revision(), message->mTo, message->mMessage });
      } else if (const auto* toCaller = std::get_if<agent::SendToCaller>(&action)) {
        recordPacketToCaller(toCaller->mPacket);
      } else if (const auto* delivery = std::get_if<agent::DeliverToUpstream>(&action)) {
        deliverToUpstream(aAgent, delivery->mPacket);
      } else if (const auto* event = std::get_if<telemetry::Event>(&action);
                 event != nullptr && event->mKind == telemetry::EventKind::kFlowReset) {
        mResetEvents.push_back(*event);
      }
    }
  }

  void recordPacketToCaller(const flow::Bytes& aPacket)
  {
    const auto packet = platform::parsePacket(aPacket);
    if (packet->has(flow::kRst)) {
      mReset.insert(packet->keyFromUpstream());
    }
  }

  void deliverToUpstream(flow::Endpoint aAgent, const flow::Bytes& aPacket)
  {
    const flow::FlowKey flow = platform::parsePacket(aPacket)->keyFromCaller();
    const auto owner = mOwner.find(flow);
    if (owner != mOwner.end() && owner->second == aAgent) {
      mDelivered[flow] = aAgent;
      ++mDeliveries;
    } else {
      ++mReturnedPackets;
      perform(aAgent, mAgents.at(aAgent)->onUpstreamPacket(mNow, returned(aPacket)));
    }
  }

  std::map<flow::FlowKey, flow::Endpoint> mOwner;
  std::deque<Message> mMessages;
};

} // namespace cornelcross::test
