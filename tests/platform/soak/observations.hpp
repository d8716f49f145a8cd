#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cornelcross::soak {

/// @brief What callers and upstreams see of each request, and the rules that it breaks.
class Observations
{
public:
  /// @brief Allows an address to lead to a service, from now on and for flows of any time.
  void allow(const std::string& aAddress, const std::string& aService);

  /// @brief A caller sent a request. @return its id
  std::uint64_t onSent(base::Time aNow, const std::string& aAddress);

  /// @brief An upstream began to work on a request.
  /// @param aUpstream name of the upstream with what identifies its start
  void onStarted(base::Time aNow,
                 std::uint64_t aRequest,
                 const std::string& aService,
                 const std::string& aUpstream);

  /// @brief A caller got the response to aReceived while it waited for that to aAwaited; 0: for
  /// none.
  void onAnswered(base::Time aNow, std::uint64_t aAwaited, std::uint64_t aReceived);

  /// @brief Adds a broken rule.
  void addViolation(base::Time aNow, const std::string& aText);

  /// @brief Share of the requests sent within a time that were answered; 0 if none was sent.
  double servedShare(base::Time aFrom, base::Time aTo) const;

  const std::vector<std::string>& violations() const { return mViolations; }
  std::size_t requests() const { return mRequests.size(); }
  std::size_t answered() const;

private:
  struct Request
  {
    base::Time mSentAt;
    std::string mAddress;
    std::string mStartedAt; ///< upstream that began to work on it; empty if none did
    bool mIsAnswered = false;
  };

  std::map<std::string, std::set<std::string>> mServices; ///< by address
  std::map<std::uint64_t, Request> mRequests;
  std::vector<std::string> mViolations;
  base::Time mStart = std::chrono::steady_clock::now();
};

} // namespace cornelcross::soak
