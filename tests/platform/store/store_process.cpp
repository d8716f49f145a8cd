#include "platform/store/store_process.hpp"

#include "config/document_key.hpp"

namespace cornelcross::test {

using namespace std::chrono_literals;

platform::StoreReader StoreProcess::makeReader()
{
  return { { { "a", "b" }, 8172, 1000ms },
           { [](const net::ConfigResult&) {},
             [this](const std::string& aKey) -> std::optional<config::Document> {
               const auto found = mDocuments.documentsForKeys({ aKey });
               return found.empty() ? std::nullopt : std::optional(found.front());
             },
             [this](const std::string& aPrefix) { return mDocuments.keysWithPrefix(aPrefix); },
             [this](const telemetry::Event& aEvent) { mEvents.push_back(aEvent); } } };
}

bool StoreProcess::read(const Respond& aRespond, unsigned aWaitSeconds)
{
  startRead(aWaitSeconds);
  return finishRead(aRespond);
}

bool StoreProcess::check(const Respond& aRespond)
{
  startRead(0, true);
  return finishRead(aRespond);
}

void StoreProcess::startRead(unsigned aWaitSeconds, bool aIsCheck)
{
  mReadRevision = mDocuments.revision();
  mStep = mReader.start(mNow, mDocuments.revision(), aWaitSeconds, aIsCheck);
}

bool StoreProcess::finishRead(const Respond& aRespond)
{
  while (const auto* request = std::get_if<platform::StoreRequest>(&mStep)) {
    mStep = mReader.onResult(mNow, aRespond(request->mPath));
  }
  const auto& result = std::get<net::ConfigResult>(mStep);
  mResponse.reset();
  if (const auto* failure = std::get_if<net::ConfigFailure>(&result)) {
    mFailure = failure->mReason;
    return false;
  }
  mResponse = std::get<net::ConfigResponse>(result);
  mIsProvisional = mResponse->mIsProvisional;
  if (!mDocuments.isOvertaken(mResponse->mBatch, mReadRevision)) {
    mDocuments.merge(mResponse->mBatch);
    if (mResponse->mAreDeletionsUnknown) {
      mDocuments.setDeletionsUnknown();
    }
  }
  return true;
}

void StoreProcess::pullFrom(const StoreProcess& aPeer)
{
  if (aPeer.revision() <= revision()) {
    return;
  }
  config::DocumentBatch batch = aPeer.mDocuments.batchAfter(revision(), SIZE_MAX);
  if (!mIsOldProgram && !aPeer.mIsOldProgram) {
    const std::string key(config::kReaderStateKey);
    const auto found = aPeer.mDocuments.documentsForKeys({ key });
    batch.mDocuments.insert(batch.mDocuments.end(), found.begin(), found.end());
  }
  mDocuments.merge(mIsOldProgram ? batch : mReader.reconcile(batch));
}

std::string StoreProcess::routedService(const std::string& aAddress) const
{
  const auto& addresses = mDocuments.configuration()->mAddresses;
  const auto route = addresses.find(*flow::Endpoint::parse(aAddress));
  return route == addresses.end() ? "" : route->second.mShares.front().mService;
}

std::set<std::string> StoreProcess::upstreams(const std::string& aService) const
{
  std::set<std::string> upstreams;
  const auto& services = mDocuments.configuration()->mServices;
  if (const auto service = services.find(aService); service != services.end()) {
    for (const config::Upstream& upstream : service->second.mUpstreams) {
      upstreams.insert(upstream.mName + " " + std::string(config::toString(upstream.mState)));
    }
  }
  return upstreams;
}

} // namespace cornelcross::test
