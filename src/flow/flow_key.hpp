#pragma once

#include "flow/endpoint.hpp"

namespace cornelcross::flow {

/// @brief Identity of a TCP flow: the caller's endpoint and the service's endpoint.
struct FlowKey
{
  Endpoint mCaller;
  Endpoint mService;

  auto operator<=>(const FlowKey&) const = default;

  /// @brief The text "caller>service".
  std::string toString() const { return mCaller.toString() + ">" + mService.toString(); }

  /// @brief 64-bit hash (XXH3), identical on every VM.
  std::uint64_t hash() const;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mCaller, mService);
  }
};

/// @brief Hash functor for unordered containers.
struct FlowKeyHash
{
  std::size_t operator()(const FlowKey& aKey) const { return aKey.hash(); }
};

} // namespace cornelcross::flow
