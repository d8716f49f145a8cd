#include "ownership/fleet.hpp"

#include "platform/packet.hpp"
#include "unit/support/configuration.hpp"

#include <algorithm>

namespace cornelcross::test {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Settings of the platform, see platform/role_settings.cpp and its settings file.
constexpr base::Duration kFlowLifetime = seconds(60);
constexpr base::Duration kZoneDrainTime = milliseconds(2500);
constexpr std::size_t kOwnerCacheCapacity = 20000;
constexpr std::uint32_t kSlots = 7;

/// Time until the store drops the record of an upstream that has ended.
constexpr base::Duration kRecordLifetime = seconds(6);

/// Share of the messages between VMs that are lost, and that arrive late.
constexpr double kLoss = 0.002;
constexpr double kLate = 0.02;

/// Odd, so that the initial sequence numbers of a run differ, and are spread over their range.
constexpr std::uint32_t kSequenceFactor = 2654435761U;
constexpr std::uint64_t kEpochMs = 1'700'000'000'000;

agent::AgentSettings agentSettings(flow::Endpoint aSelf, std::uint64_t aStartedAtMs)
{
  agent::AgentSettings settings{ .mSelf = aSelf, .mService = "logbook" };
  settings.mUpstreamAddress = flow::Endpoint{ aSelf.mAddress, 7001 };
  settings.mUpstreamAcceptsTcp = true;
  settings.mStartedAtMs = aStartedAtMs;
  settings.mRecoveryWindow = kFlowLifetime;
  settings.mIdleTimeout = kFlowLifetime;
  settings.mHalfOpenTimeout = seconds(5);
  settings.mClosingTimeout = seconds(5);
  admission::AdmissionSettings& admission = settings.mAdmission;
  admission.mMaxQueueTime = base::Duration::zero();
  admission.mQueuesRequests = false;
  admission.mUpstreamQueuePerSlot = 2;
  admission.mConcurrencyLimit.mIsAdaptive = false;
  admission.mConcurrencyLimit.mColdStartLimit = UINT32_MAX;
  admission.mConcurrencyLimit.mColdStartDuration = base::Duration::zero();
  return settings;
}

} // namespace

Fleet::Fleet(EventQueue& aEvents, membership::Random& aRandom) : mEvents(aEvents), mRandom(aRandom)
{
  for (std::size_t i = 0; i < kBalancers + kUpstreams; ++i) {
    Vm vm;
    vm.mIsBalancer = i < kBalancers;
    vm.mSelf = vm.mIsBalancer
                 ? flow::Endpoint{ { 0x7F000101U + static_cast<std::uint32_t>(i) }, 7000 }
                 : agentOf(static_cast<std::uint32_t>(i - kBalancers));
    vm.mZone = std::string(1, static_cast<char>('a' + i % kZones));
    vm.mDisturbedAt = mEvents.now();
    mVmByEndpoint[vm.mSelf] = i;
    mVms.push_back(std::move(vm));
  }
  mDocuments.mServices["logbook"] = { "logbook", kServiceAddress, {} };
  for (const char* zone : { "a", "b", "c" }) {
    mDocuments.mZones[zone] = { zone };
  }
  publish();
  for (std::size_t i = 0; i < mVms.size(); ++i) {
    mEvents.after(between({}, milliseconds(300)), [this, i] { startProcess(i); });
    if (!mVms[i].mIsBalancer) {
      mEvents.after(between({}, milliseconds(600)), [this, i] { startUpstream(i, true); });
    }
  }
}

bool Fleet::happens(double aProbability)
{
  constexpr std::size_t kScale = 1'000'000;
  return static_cast<double>(mRandom.below(kScale)) < aProbability * kScale;
}

std::uint64_t Fleet::wallClockMs(const Vm& aVm) const
{
  const auto sinceStart =
    std::chrono::duration_cast<milliseconds>(mEvents.now().time_since_epoch()) + aVm.mClockOffset;
  return kEpochMs + static_cast<std::uint64_t>(sinceStart.count());
}

// A function of a process does not run after the end of this process.
void Fleet::afterWhileRunning(std::size_t aVm,
                              base::Duration aDelay,
                              std::function<void()> aFunction)
{
  mEvents.after(aDelay,
                [this, aVm, generation = mVms[aVm].mGeneration, function = std::move(aFunction)] {
                  if (mVms[aVm].mGeneration == generation && mVms[aVm].mIsRunning) {
                    function();
                  }
                });
}

// ---- store and configuration

void Fleet::write(std::function<void()> aChange)
{
  if (!mIsStoreAvailable) {
    mDelayedWrites.push_back(std::move(aChange));
    return;
  }
  aChange();
  publish();
}

void Fleet::publish()
{
  ++mDocuments.mRevision;
  mVersions.push_back(share(mDocuments));
  for (std::size_t i = 0; i < mVms.size(); ++i) {
    const base::Duration delay =
      happens(0.9) ? between(milliseconds(20), milliseconds(700)) : between({}, seconds(3));
    afterWhileRunning(i, delay, [this, i, revision = mDocuments.mRevision] {
      if (mVms[i].mIsReady) {
        adopt(i, revision);
      }
    });
  }
}

void Fleet::setStoreAvailable(bool aIsAvailable)
{
  mIsStoreAvailable = aIsAvailable;
  if (mIsStoreAvailable) {
    for (auto& change : std::exchange(mDelayedWrites, {})) {
      mEvents.after(between({}, milliseconds(500)), [this, change] { write(change); });
    }
  }
}

void Fleet::setZoneInService(const std::string& aZone, bool aIsInService)
{
  write([this, aZone, aIsInService] { mDocuments.mZones[aZone].mIsInService = aIsInService; });
}

// The newer of two records at one endpoint is selected, so a record under a new name replaces the
// former one.
void Fleet::registerUpstream(std::size_t aVm)
{
  write([this, aVm] {
    Vm& vm = mVms[aVm];
    config::UpstreamList upstreams;
    for (const config::Upstream& upstream : mDocuments.mServices["logbook"].mUpstreams) {
      if (upstream.mAgent != vm.mSelf) {
        upstreams.push_back(upstream);
      }
    }
    if (vm.mUpstream) {
      config::Upstream upstream;
      upstream.mName = vm.mName;
      upstream.mAgent = vm.mSelf;
      upstream.mAddress = { vm.mSelf.mAddress, 7001 };
      upstream.mZone = vm.mZone;
      upstream.mSlots = kSlots;
      upstream.mStartedAtMs = vm.mUpstreamStartedAtMs;
      upstream.mIdentity = config::upstreamIdentity("logbook", vm.mName);
      upstreams.push_back(upstream);
    }
    mDocuments.mServices["logbook"].mUpstreams = upstreams;
  });
}

void Fleet::activate(Vm& aVm, config::ConfigurationPtr aConfiguration)
{
  if (aVm.mRouter) {
    aVm.mRouter->apply(std::move(aConfiguration));
    return;
  }
  const std::size_t index = mVmByEndpoint.at(aVm.mSelf);
  perform(index, aVm.mAgent->apply(mEvents.now(), std::move(aConfiguration)));
}

void Fleet::adopt(std::size_t aVm, std::uint64_t aRevision)
{
  Vm& vm = mVms[aVm];
  if (aRevision > vm.mRevision) {
    vm.mRevision = aRevision;
    activate(vm, vm.mRetained->apply(mEvents.now(), mVersions[aRevision - 1]));
  }
}

const Vm* Fleet::readyPeer(std::size_t aVm)
{
  std::vector<const Vm*> peers;
  for (std::size_t i = 0; i < mVms.size(); ++i) {
    if (i != aVm && mVms[i].mIsRunning && mVms[i].mIsReady) {
      peers.push_back(&mVms[i]);
    }
  }
  return peers.empty() ? nullptr : peers[mRandom.below(peers.size())];
}

// A process that finds neither the store nor a peer with a configuration does not forward.
void Fleet::loadConfiguration(std::size_t aVm)
{
  const Vm* peer = readyPeer(aVm);
  if (!mIsStoreAvailable && peer == nullptr) {
    afterWhileRunning(aVm, milliseconds(300), [this, aVm] { loadConfiguration(aVm); });
    return;
  }
  Vm& vm = mVms[aVm];
  adopt(aVm, mIsStoreAvailable ? mDocuments.mRevision : peer->mRevision);
  vm.mIsReady = true;
  vm.mReadySince = mEvents.now();
  pullRetainedState(aVm);
}

void Fleet::pullRetainedState(std::size_t aVm)
{
  Vm& vm = mVms[aVm];
  if (vm.mRetained->isComplete()) {
    return;
  }
  if (const Vm* peer = readyPeer(aVm); peer != nullptr && happens(0.7)) {
    const config::RetainedState state = peer->mRetained->retainedState(mEvents.now());
    adopt(aVm, peer->mRevision);
    activate(vm, vm.mRetained->merge(mEvents.now(), state));
  }
  afterWhileRunning(
    aVm, between(milliseconds(100), seconds(1)), [this, aVm] { pullRetainedState(aVm); });
}

// ---- processes

void Fleet::startProcess(std::size_t aVm)
{
  Vm& vm = mVms[aVm];
  if (vm.mIsRunning) {
    return;
  }
  ++vm.mGeneration;
  vm.mIsRunning = true;
  vm.mIsReady = vm.mAreLookupsScheduled = false;
  vm.mRevision = 0;
  const std::uint64_t startedAtMs = wallClockMs(vm);
  vm.mRetained =
    std::make_unique<config::RetainedRoutes>(kFlowLifetime, kZoneDrainTime, startedAtMs, true);
  if (vm.mIsBalancer) {
    vm.mRouter = std::make_unique<balancer::PacketRouter>(
      vm.mSelf, kOwnerCacheCapacity, platform::packetFormat(), true, vm.mZone);
  } else {
    vm.mAgent = std::make_unique<agent::FlowManager>(agentSettings(vm.mSelf, startedAtMs),
                                                     platform::packetFormat());
    perform(aVm, vm.mAgent->tryUpstream(mEvents.now()));
  }
  afterWhileRunning(aVm, between({}, milliseconds(100)), [this, aVm] { tick(aVm); });
  afterWhileRunning(
    aVm, between(milliseconds(50), milliseconds(600)), [this, aVm] { loadConfiguration(aVm); });
}

void Fleet::endProcess(std::size_t aVm, bool aIsPlanned)
{
  Vm& vm = mVms[aVm];
  ++vm.mGeneration;
  vm.mIsRunning = vm.mIsReady = false;
  vm.mAgent.reset();
  vm.mRouter.reset();
  vm.mDisturbedAt = aIsPlanned ? vm.mDisturbedAt : mEvents.now();
}

void Fleet::restartInTurn(std::size_t aVm)
{
  if (!mVms[aVm].mIsRunning) {
    return;
  }
  if (mVms[aVm].mAgent) {
    mVms[aVm].mAgent->stopAcceptingFlows();
  }
  afterWhileRunning(aVm, between({}, milliseconds(800)), [this, aVm] {
    endProcess(aVm, true);
    mEvents.after(between(milliseconds(50), milliseconds(900)), [this, aVm] { startProcess(aVm); });
  });
}

void Fleet::startUpstream(std::size_t aVm, bool aHasNewName)
{
  Vm& vm = mVms[aVm];
  if (vm.mUpstream) {
    return;
  }
  ++vm.mStarts;
  vm.mUpstream = std::make_unique<UpstreamProcess>(UpstreamInstance{ aVm, vm.mStarts });
  vm.mUpstreamStartedAtMs = wallClockMs(vm);
  if (aHasNewName || vm.mName.empty()) {
    vm.mName = "logbook-" + std::to_string(aVm) + "-" + std::to_string(vm.mStarts);
  }
  mEvents.after(between(milliseconds(50), milliseconds(800)),
                [this, aVm] { registerUpstream(aVm); });
}

void Fleet::endUpstream(std::size_t aVm)
{
  Vm& vm = mVms[aVm];
  vm.mUpstream.reset();
  vm.mDisturbedAt = mEvents.now();
  mEvents.after(kRecordLifetime, [this, aVm, start = vm.mStarts] {
    if (!mVms[aVm].mUpstream && mVms[aVm].mStarts == start) {
      registerUpstream(aVm);
    }
  });
}

// The agent usually starts before the upstream, and so sees a refused connection.
void Fleet::losePower(std::size_t aVm, base::Duration aDuration)
{
  endProcess(aVm, false);
  mEvents.after(aDuration + between({}, milliseconds(1000)), [this, aVm] {
    mVms[aVm].mDisturbedAt = mEvents.now();
    startProcess(aVm);
  });
  if (!mVms[aVm].mIsBalancer) {
    endUpstream(aVm);
    const base::Duration delay = between(milliseconds(100), milliseconds(2500));
    const bool isNew = happens(0.5);
    mEvents.after(aDuration + delay, [this, aVm, isNew] { startUpstream(aVm, isNew); });
  }
}

void Fleet::stepClock(std::size_t aVm, std::chrono::milliseconds aStep)
{
  mVms[aVm].mClockOffset += aStep;
}

void Fleet::blockPath(std::size_t aFrom, std::size_t aTo, base::Duration aDuration)
{
  mBlockedUntil[{ aFrom, aTo }] = mEvents.now() + aDuration;
  for (const std::size_t vm : { aFrom, aTo }) {
    mVms[vm].mDisturbedAt = std::max(mVms[vm].mDisturbedAt, mEvents.now() + aDuration);
  }
}

void Fleet::tick(std::size_t aVm)
{
  constexpr unsigned kTicksPerSecond = 10;
  constexpr unsigned kReportTicks = 3;
  Vm& vm = mVms[aVm];
  const base::Time now = mEvents.now();
  ++vm.mTicks;
  if (auto configuration = vm.mRetained->expire(now); configuration && vm.mIsReady) {
    activate(vm, std::move(configuration));
  }
  if (vm.mRouter) {
    for (const flow::Endpoint peer : vm.mRouter->failureDetector().selectProbeTargets(now)) {
      send(aVm,
           peer,
           wire::Probe{ ++vm.mLastNonce, vm.mRouter->failureDetector().unansweredProbes(peer) });
    }
  } else {
    perform(aVm, vm.mAgent->onProbeTimer(now));
    if (vm.mTicks % kTicksPerSecond == 0) {
      perform(aVm, vm.mAgent->onFlowTimer(now));
    }
    if (vm.mTicks % kReportTicks == 0) {
      perform(aVm, vm.mAgent->onReportTimer(now));
    }
  }
  afterWhileRunning(aVm, milliseconds(100), [this, aVm] { tick(aVm); });
}

void Fleet::scheduleLookups(std::size_t aVm)
{
  Vm& vm = mVms[aVm];
  if (vm.mAreLookupsScheduled || vm.mAgent->ownerLookupCount() == 0) {
    return;
  }
  vm.mAreLookupsScheduled = true;
  afterWhileRunning(aVm, milliseconds(25), [this, aVm] {
    mVms[aVm].mAreLookupsScheduled = false;
    perform(aVm, mVms[aVm].mAgent->onLookupTimer(mEvents.now()));
    scheduleLookups(aVm);
  });
}

// ---- network

void Fleet::send(std::size_t aFrom, flow::Endpoint aTo, wire::Message aMessage)
{
  const auto to = mVmByEndpoint.find(aTo);
  if (to == mVmByEndpoint.end() || (to->second != aFrom && happens(kLoss))) {
    return;
  }
  const auto blocked = mBlockedUntil.find({ aFrom, to->second });
  if (blocked != mBlockedUntil.end() && mEvents.now() < blocked->second) {
    return;
  }
  const base::Duration delay = happens(kLate) ? between(milliseconds(5), milliseconds(60))
                                              : between(microseconds(300), milliseconds(3));
  const Vm& sender = mVms[aFrom];
  const std::uint64_t revision =
    sender.mRouter ? sender.mRouter->revision() : sender.mAgent->revision();
  mEvents.after(delay, [this, aFrom, revision, to = to->second, message = std::move(aMessage)] {
    if (mVms[to].mIsRunning) {
      receive(to, aFrom, revision, message);
    }
  });
}

void Fleet::receive(std::size_t aVm,
                    std::size_t aFrom,
                    std::uint64_t aRevision,
                    const wire::Message& aMessage)
{
  Vm& vm = mVms[aVm];
  const base::Time now = mEvents.now();
  const flow::Endpoint from = mVms[aFrom].mSelf;
  auto& detector = vm.mRouter ? vm.mRouter->failureDetector() : vm.mAgent->failureDetector();
  if (const auto* probe = std::get_if<wire::Probe>(&aMessage)) {
    detector.recordProbe(now, from, probe->mAttempt);
    send(aVm, from, wire::ProbeReply{ probe->mNonce });
  } else if (std::holds_alternative<wire::ProbeReply>(aMessage)) {
    detector.recordReply(now, from);
  } else if (const auto* update = std::get_if<wire::OwnerUpdate>(&aMessage)) {
    if (vm.mRouter) {
      vm.mRouter->onOwnerUpdate(now, *update);
    }
  } else if (const auto* forward = std::get_if<wire::Forward>(&aMessage)) {
    if (vm.mIsReady) {
      perform(aVm, vm.mAgent->onForward(now, aRevision, *forward));
      scheduleLookups(aVm);
    } else {
      perform(aVm, vm.mAgent->onForwardWhileStarting(now, *forward));
    }
  } else if (const auto* lookup = std::get_if<wire::OwnerLookup>(&aMessage)) {
    perform(aVm, vm.mAgent->onOwnerLookup(now, from, *lookup));
  } else if (const auto* reply = std::get_if<wire::OwnerLookupReply>(&aMessage)) {
    perform(aVm, vm.mAgent->onOwnerLookupReply(now, from, aRevision, *reply));
  } else if (const auto* report = std::get_if<wire::LoadReport>(&aMessage)) {
    vm.mAgent->onLoadReport(now, *report);
  }
}

void Fleet::sendFromCaller(std::size_t aBalancer, const flow::Bytes& aPacket)
{
  if (happens(kLoss)) {
    return;
  }
  const bool isLate = mLateShare > 0 && happens(mLateShare);
  const base::Duration delay = isLate ? between(milliseconds(100), milliseconds(1500))
                                      : between(microseconds(300), milliseconds(3));
  mEvents.after(delay, [this, aBalancer, aPacket] {
    Vm& vm = mVms[aBalancer];
    if (!vm.mIsRunning || !vm.mIsReady) {
      return;
    }
    auto action = vm.mRouter->route(mEvents.now(), aPacket);
    if (auto* sent = std::get_if<balancer::SendForward>(&action)) {
      sent->mForward.mPacket = aPacket;
      send(aBalancer, sent->mTo, std::move(sent->mForward));
    } else if (auto* refused = std::get_if<balancer::RefuseFlow>(&action)) {
      sendToCaller(aBalancer, std::move(refused->mReset));
    }
  });
}

void Fleet::perform(std::size_t aVm, agent::Actions aActions)
{
  for (agent::Action& action : aActions) {
    if (auto* message = std::get_if<agent::SendMessage>(&action)) {
      send(aVm, message->mTo, std::move(message->mMessage));
    } else if (auto* toCaller = std::get_if<agent::SendToCaller>(&action)) {
      sendToCaller(aVm, std::move(toCaller->mPacket));
    } else if (auto* delivery = std::get_if<agent::DeliverToUpstream>(&action)) {
      mEvents.after(
        between(microseconds(50), microseconds(400)),
        [this, aVm, packet = std::move(delivery->mPacket)] { deliverToUpstream(aVm, packet); });
    } else if (const auto* connection = std::get_if<agent::ConnectToUpstream>(&action)) {
      afterWhileRunning(aVm, microseconds(300), [this, aVm, to = connection->mTo] {
        const auto outcome = mVms[aVm].mUpstream ? flow::ConnectionOutcome::kAccepted
                                                 : flow::ConnectionOutcome::kRefused;
        perform(aVm, mVms[aVm].mAgent->onConnectionAttempt(mEvents.now(), to, outcome));
      });
    }
  }
}

void Fleet::sendToCaller(std::size_t aVm, flow::Bytes aPacket)
{
  if (!happens(kLoss)) {
    mEvents.after(between(microseconds(300), milliseconds(3)),
                  [this, aVm, packet = std::move(aPacket)] { mCallerHook(aVm, packet); });
  }
}

void Fleet::deliverToUpstream(std::size_t aVm, const flow::Bytes& aPacket)
{
  Vm& vm = mVms[aVm];
  if (!vm.mUpstream) {
    return;
  }
  const auto initial = static_cast<std::uint32_t>(mAcceptedBy.size() + 1) * kSequenceFactor;
  const flow::FlowKey key = platform::parsePacket(aPacket)->keyFromCaller();
  const auto outcome = vm.mUpstream->receive(aPacket, initial);
  if (vm.mUpstream->holds(key, initial)) {
    mAcceptedBy[initial] = vm.mUpstream->instance();
  }
  mArrivalHook(vm.mUpstream->instance(), aPacket, outcome.mIsHeld);
  const std::uint32_t start = vm.mStarts;
  if (outcome.mReply) {
    mEvents.after(
      between(microseconds(50), microseconds(800)),
      [this, aVm, start, reply = *outcome.mReply] { receiveFromUpstream(aVm, start, reply); });
  }
  if (outcome.mAnswer) {
    mEvents.after(
      between(milliseconds(5), milliseconds(120)),
      [this, aVm, start, answer = *outcome.mAnswer] { receiveFromUpstream(aVm, start, answer); });
  }
}

void Fleet::receiveFromUpstream(std::size_t aVm, std::uint32_t aStart, flow::Bytes aPacket)
{
  Vm& vm = mVms[aVm];
  if (!vm.mUpstream || vm.mStarts != aStart || !vm.mIsRunning) {
    return;
  }
  const bool isKnown = vm.mIsReady && vm.mAgent->upstream();
  perform(aVm,
          isKnown ? vm.mAgent->onUpstreamPacket(mEvents.now(), std::move(aPacket))
                  : vm.mAgent->onUpstreamPacketWhileStarting(std::move(aPacket)));
  scheduleLookups(aVm);
}

UpstreamInstance Fleet::acceptedBy(std::uint32_t aInitialSequence) const
{
  return mAcceptedBy.at(aInitialSequence);
}

bool Fleet::isHeld(const flow::FlowKey& aFlow, std::uint32_t aInitialSequence) const
{
  const UpstreamInstance instance = acceptedBy(aInitialSequence);
  const auto& upstream = mVms[instance.mVm].mUpstream;
  return upstream && upstream->instance() == instance && upstream->holds(aFlow, aInitialSequence);
}

} // namespace cornelcross::test
