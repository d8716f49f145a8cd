#include "platform/soak/faults.hpp"

#include <algorithm>
#include <csignal>
#include <stdexcept>

namespace cornelcross::soak {

namespace {

using namespace std::chrono_literals;

constexpr base::Duration kMaxPause = 1200ms; // between two faults
constexpr base::Duration kDrainTime = 3s;
constexpr base::Duration kGraceTime = 6s;
constexpr base::Duration kReuseAfter = 2s;
constexpr base::Duration kMaxOverlap = 3s; // of an agent with the next upstream of its address
constexpr base::Duration kMaxFreeze = 4s;
constexpr std::size_t kMaxBusyShare = 3; // one in so many upstreams at once

} // namespace

Faults::Faults(Fleet& aFleet, std::uint64_t aSeed, const std::set<std::string>& aKinds)
  : mFleet(aFleet), mRandom(aSeed)
{
  mKinds = { { "replace_vm", [this] { replaceVm(upTo(kReuseAfter)); } },
             { "replace_vm", [this] { replaceVm(upTo(kReuseAfter)); } },
             { "reuse_before_stop", [this] { replaceVm(kReuseAfter + upTo(kMaxOverlap)); } },
             { "replace_upstream_in_place", [this] { replaceUpstreamInPlace(); } },
             { "restart_upstream", [this] { restartUpstream(); } },
             { "kill_program", [this] { killProgram(); } },
             { "terminate_program", [this] { terminateProgram(); } },
             { "freeze_program", [this] { freezeProgram(); } },
             { "stop_store", [this] { stopStore(); } },
             { "change_configuration", [this] { mFleet.changeConfiguration(); } },
             { "replace_silent_upstream", [this] { replaceSilentUpstreamInPlace(); }, true },
             { "restart_agent_before_reuse", [this] { restartAgentBeforeReuse(); }, true },
             { "pause_agent_before_reuse", [this] { pauseAgentBeforeReuse(); }, true } };
  for (const std::string& name : aKinds) {
    const auto isNamed = [&](const Kind& aKind) { return aKind.mName == name; };
    if (std::none_of(mKinds.begin(), mKinds.end(), isNamed)) {
      throw std::invalid_argument("--faults: unknown kind " + name);
    }
  }
  std::erase_if(mKinds, [&](const Kind& aKind) {
    return aKinds.empty() ? aKind.mIsByNameOnly : !aKinds.contains(aKind.mName);
  });
}

void Faults::start()
{
  after(upTo(kMaxPause), [this] { injectNext(); });
}

void Faults::injectNext()
{
  if (mIsStopped) {
    return;
  }
  const Kind& kind = mKinds[below(mKinds.size())];
  ++mCounts[kind.mName];
  kind.mInject();
  start();
}

base::Duration Faults::upTo(base::Duration aLimit)
{
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(aLimit).count();
  return std::chrono::milliseconds(below(static_cast<std::uint64_t>(milliseconds) + 1));
}

void Faults::after(base::Duration aDelay, std::function<void()> aCallback)
{
  mFleet.loop().after(aDelay, std::move(aCallback));
}

Vm* Faults::pickUpstreamVm()
{
  std::vector<Vm*> candidates;
  for (Vm* vm : mFleet.vms(false)) {
    if (vm->mUpstream != nullptr && !mBusy.contains(vm)) {
      candidates.push_back(vm);
    }
  }
  const std::size_t all = candidates.size() + mBusy.size();
  if (candidates.empty() || kMaxBusyShare * mBusy.size() >= all) {
    return nullptr;
  }
  Vm* vm = candidates[below(candidates.size())];
  mBusy.insert(vm);
  return vm;
}

Vm* Faults::pickProgram()
{
  const std::vector<Vm*> candidates = mFleet.vms(below(2) == 0);
  return candidates.empty() ? nullptr : candidates[below(candidates.size())];
}

// The upstream ends, its VM is stopped and gone after the grace time, and its address goes to the
// next VM, possibly before the former program has ended.
void Faults::replaceVm(base::Duration aStopDelay)
{
  Vm* vm = pickUpstreamVm();
  if (vm == nullptr) {
    return;
  }
  const bool isPlanned = below(3) == 0;
  if (isPlanned) {
    mFleet.drainUpstream(*vm);
  }
  const base::Duration end = isPlanned ? kDrainTime : 0s;
  const base::Duration stop = end + aStopDelay;
  after(end, [this, vm, isPlanned] { mFleet.endUpstream(*vm, isPlanned); });
  after(stop, [vm] { vm->retire(); });
  const base::Duration reuse = end + kReuseAfter + upTo(1s);
  const bool isFormerGone = below(2) == 0;
  after(isFormerGone ? reuse : stop + kGraceTime, [vm] { vm->powerOff(); });
  after(reuse, [this, vm] { placeNextVm(*vm); });
}

void Faults::placeNextVm(Vm& aFormer)
{
  const std::string service =
    below(4) == 0 ? aFormer.service() : Fleet::otherService(aFormer.service());
  Vm& next = mFleet.addUpstreamVm(aFormer.zone(), aFormer.address(), service);
  after(upTo(800ms), [this, &next, former = &aFormer] {
    mFleet.startUpstream(next);
    mBusy.erase(former);
  });
  after(upTo(800ms), [&next] { next.powerOn(); });
}

// The VM and its agent stay, the settings change.
void Faults::replaceUpstreamInPlace()
{
  Vm* vm = pickUpstreamVm();
  if (vm == nullptr) {
    return;
  }
  mFleet.endUpstream(*vm, false);
  const base::Duration start = kReuseAfter + upTo(1s);
  after(upTo(start), [this, vm] {
    vm->setService(Fleet::otherService(vm->service()));
    if (below(2) == 0) {
      vm->signal(SIGHUP);
    }
  });
  after(start, [this, vm] {
    mFleet.startUpstream(*vm);
    mBusy.erase(vm);
  });
}

// The settings change as late as they may: when the next upstream starts.
void Faults::startNextUpstream(Vm& aVm)
{
  aVm.setService(Fleet::otherService(aVm.service()));
  mFleet.startUpstream(aVm);
  mBusy.erase(&aVm);
}

// The upstream's connections stay open. Its VM and its agent stay, too.
void Faults::replaceSilentUpstreamInPlace()
{
  Vm* vm = pickUpstreamVm();
  if (vm == nullptr) {
    return;
  }
  mFleet.silenceUpstream(*vm);
  after(kReuseAfter + upTo(200ms), [this, vm] { startNextUpstream(*vm); });
}

// The agent starts again while nobody answers at the endpoint, mostly, and the record of the former
// upstream has not expired.
void Faults::restartAgentBeforeReuse()
{
  Vm* vm = pickUpstreamVm();
  if (vm == nullptr) {
    return;
  }
  mFleet.endUpstream(*vm, false);
  after(kReuseAfter - 600ms + upTo(300ms), [vm] { vm->signal(SIGKILL); });
  after(kReuseAfter + upTo(50ms), [this, vm] { startNextUpstream(*vm); });
}

// The agent does not run from about the silent end of its upstream until the next one answers.
void Faults::pauseAgentBeforeReuse()
{
  Vm* vm = pickUpstreamVm();
  if (vm == nullptr) {
    return;
  }
  mFleet.silenceUpstream(*vm);
  after(upTo(kReuseAfter - 1s), [vm] { vm->signal(SIGSTOP); });
  after(kReuseAfter + upTo(50ms), [this, vm] {
    startNextUpstream(*vm);
    vm->signal(SIGCONT);
  });
}

void Faults::restartUpstream()
{
  Vm* vm = pickUpstreamVm();
  if (vm == nullptr) {
    return;
  }
  const std::string id = below(2) == 0 ? vm->mUpstream->start().mId : "";
  mFleet.endUpstream(*vm, false);
  after(500ms + upTo(4s), [this, vm, id] {
    mFleet.startUpstream(*vm, id);
    mBusy.erase(vm);
  });
}

void Faults::killProgram()
{
  if (Vm* vm = pickProgram()) {
    vm->signal(SIGKILL);
  }
}

void Faults::terminateProgram()
{
  Vm* vm = pickProgram();
  if (vm == nullptr) {
    return;
  }
  vm->signal(SIGTERM);
  if (below(3) == 0) {
    after(upTo(1s), [vm] { vm->signal(SIGTERM); });
  }
}

void Faults::freezeProgram()
{
  if (Vm* vm = pickProgram()) {
    vm->signal(SIGSTOP);
    after(upTo(kMaxFreeze), [vm] { vm->signal(SIGCONT); });
  }
}

void Faults::stopStore()
{
  mFleet.setStoreDown(true, below(2) == 0);
  after(1s + upTo(4s), [this] { mFleet.setStoreDown(false); });
}

} // namespace cornelcross::soak
