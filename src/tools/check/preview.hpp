#pragma once

#include "config/configuration.hpp"
#include "tools/check/document_change.hpp"
#include "tools/check/service_change.hpp"
#include "tools/check/upstream_change.hpp"

namespace cornelcross::tools::check {

/// @brief Effects of a configuration change.
struct Preview
{
  std::vector<std::string> mAddedServices;
  std::vector<std::string> mRemovedServices;
  /// Services whose address changes. All flows of these services break.
  std::vector<std::string> mReaddressedServices;
  std::vector<std::string> mZonesOut; ///< zones that go out of service
  std::vector<std::string> mZonesIn;  ///< zones that return to service
  bool mHasWorkspaceChange = false;
  std::vector<DocumentChange> mAddresses; ///< documents "address/ADDRESS"
  std::vector<DocumentChange> mRequests;  ///< documents "requests/ADDRESS"
  std::vector<UpstreamChange> mUpstreams;
  /// Services of both configurations that have at least one entry in mUpstreams.
  std::vector<ServiceChange> mServices;

  auto operator<=>(const Preview&) const = default;

  /// @brief True if the change has no effect.
  bool isEmpty() const { return *this == Preview{}; }
};

/// @brief Compares two configurations.
///
/// Ranks aSampledFlows flows of each changed service, as a balancer does, to estimate the shares of
/// new flows. The standard error of a share is at most 0.5 / sqrt(aSampledFlows).
Preview previewChange(const config::Configuration& aBefore,
                      const config::Configuration& aAfter,
                      std::uint32_t aSampledFlows);

/// @brief Formats a preview as lines of key=value pairs.
std::string toText(const Preview& aPreview);

} // namespace cornelcross::tools::check
