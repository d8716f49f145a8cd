#include "platform/soak/observations.hpp"

#include <algorithm>
#include <iostream>

namespace cornelcross::soak {

void Observations::allow(const std::string& aAddress, const std::string& aService)
{
  mServices[aAddress].insert(aService);
}

std::uint64_t Observations::onSent(base::Time aNow, const std::string& aAddress)
{
  const std::uint64_t id = mRequests.size() + 1;
  mRequests[id] = { aNow, aAddress, "", false };
  return id;
}

void Observations::onStarted(base::Time aNow,
                             std::uint64_t aRequest,
                             const std::string& aService,
                             const std::string& aUpstream)
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    addViolation(aNow, "UNASKED: " + aUpstream + " of " + aService + " ran an unknown request");
    return;
  }
  Request& request = found->second;
  const std::string text = "request " + std::to_string(aRequest) + " to " + request.mAddress;
  if (!mServices[request.mAddress].contains(aService)) {
    addViolation(aNow, "ROUTE: " + text + " ran at " + aUpstream + " of " + aService);
  }
  if (!request.mStartedAt.empty()) {
    addViolation(
      aNow, "UNASKED: " + text + " ran at " + request.mStartedAt + " and again at " + aUpstream);
  }
  request.mStartedAt = aUpstream;
}

void Observations::onAnswered(base::Time aNow, std::uint64_t aAwaited, std::uint64_t aReceived)
{
  if (aAwaited == 0 || aAwaited != aReceived) {
    addViolation(aNow,
                 "MIXED: a caller that waited for request " + std::to_string(aAwaited) +
                   " got the response to " + std::to_string(aReceived));
    return;
  }
  mRequests[aReceived].mIsAnswered = true;
}

void Observations::addViolation(base::Time aNow, const std::string& aText)
{
  const double seconds = std::chrono::duration<double>(aNow - mStart).count();
  mViolations.push_back(std::to_string(seconds) + " s: " + aText);
  std::cout << "violation at " << mViolations.back() << std::endl;
}

double Observations::servedShare(base::Time aFrom, base::Time aTo) const
{
  std::size_t sent = 0;
  std::size_t answered = 0;
  for (const auto& [id, request] : mRequests) {
    if (request.mSentAt >= aFrom && request.mSentAt < aTo) {
      ++sent;
      answered += request.mIsAnswered ? 1U : 0U;
    }
  }
  return sent == 0 ? 0.0 : static_cast<double>(answered) / static_cast<double>(sent);
}

std::size_t Observations::answered() const
{
  return static_cast<std::size_t>(
    std::count_if(mRequests.begin(), mRequests.end(), [](const auto& aEntry) {
      return aEntry.second.mIsAnswered;
    }));
}

} // namespace cornelcross::soak
