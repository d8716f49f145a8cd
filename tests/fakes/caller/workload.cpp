#include "fakes/caller/workload.hpp"

#include <sstream>

namespace cornelcross::fakes {

namespace {

/// Requests of one kind of session.
struct KindProfile
{
  std::uint32_t mRequests;
  std::uint32_t mSize;
  std::uint32_t mWorkMs;
  std::uint32_t mThinkMs;
};

KindProfile profileOf(const std::string& aKind)
{
  if (aKind == "reading") {
    return { 20, 32, 5, 500 };
  }
  if (aKind == "download") {
    return { 1, 300000, 40, 0 };
  }
  if (aKind == "save") {
    return { 1, 64, 20, 0 };
  }
  return { 1, 4000, 20, 0 };
}

} // namespace

std::vector<LoadStream> parseLoad(const std::string& aText)
{
  std::vector<LoadStream> streams;
  std::istringstream list(aText);
  for (std::string item; std::getline(list, item, ';');) {
    const auto at = item.find('@');
    const auto star = item.find('*');
    if (at == std::string::npos || star == std::string::npos || star < at) {
      return {};
    }
    const auto service = flow::Endpoint::parse(item.substr(at + 1, star - at - 1));
    if (!service) {
      return {};
    }
    streams.push_back({ item.substr(0, at), *service, std::stod(item.substr(star + 1)) });
  }
  return streams;
}

std::vector<flow::Ipv4Address> parseSources(const std::string& aText)
{
  std::vector<flow::Ipv4Address> sources;
  std::istringstream list(aText);
  for (std::string item; std::getline(list, item, ',');) {
    const auto address = flow::Ipv4Address::parse(item);
    if (!address) {
      return {};
    }
    sources.push_back(*address);
  }
  return sources;
}

Workload::Workload(WorkloadSettings aSettings)
  : mSettings(std::move(aSettings)), mRandom(mSettings.mSeed)
{
}

void Workload::start()
{
  for (std::size_t i = 0; i < mSettings.mStreams.size(); ++i) {
    schedule(i);
  }
}

void Workload::schedule(std::size_t aStream)
{
  std::exponential_distribution<> gap(mSettings.mStreams[aStream].mRate);
  const auto milliseconds = static_cast<unsigned>(gap(mRandom) * 1000);
  LwipStack::after(milliseconds, [this, aStream] {
    if (mIsStopped) {
      return;
    }
    std::make_shared<Session>(plan(mSettings.mStreams[aStream]), mTally)->start();
    schedule(aStream);
  });
}

SessionPlan Workload::plan(const LoadStream& aStream)
{
  const KindProfile profile = profileOf(aStream.mKind);
  std::uniform_int_distribution<std::size_t> pick(0, mSettings.mSources.size() - 1);
  SessionPlan plan;
  plan.mName = mSettings.mName;
  plan.mId = mSettings.mName + "-" + aStream.mKind + "-" + std::to_string(++mSessions);
  plan.mKind = aStream.mKind;
  plan.mSource = mSettings.mSources[pick(mRandom)];
  plan.mService = aStream.mService;
  plan.mRequests = profile.mRequests;
  plan.mSize = profile.mSize;
  plan.mWorkMs = profile.mWorkMs;
  plan.mThinkMs = profile.mThinkMs;
  plan.mDeadlineMs = mSettings.mDeadlineMs;
  plan.mSynData = mSettings.mSynData;
  return plan;
}

} // namespace cornelcross::fakes
