#pragma once

#include "config/configuration.hpp"
#include "tools/check/service_change.hpp"
#include "tools/check/upstream_change.hpp"

namespace cornelcross::tools::check {

/// @brief Everything that a change of the configuration would do.
struct Preview
{
  std::vector<std::string> mAddedServices;
  std::vector<std::string> mRemovedServices;
  std::vector<std::string> mMovedServices; ///< whose address differs; their flows break
  std::vector<std::string> mZonesOut;
  std::vector<std::string> mZonesIn;
  bool mWorkspacesDiffer = false;
  std::vector<UpstreamChange> mUpstreams;
  std::vector<ServiceChange> mServices; ///< in both, with some upstream's part changed

  auto operator<=>(const Preview&) const = default;

  /// @brief True if the change does nothing.
  bool isEmpty() const { return *this == Preview{}; }
};

/// @brief Compares two configurations. Shares are measured by ranking aSample flows as a balancer
/// does; their standard error is at most 0.5 / sqrt(aSample).
Preview previewChange(const config::Configuration& aBefore,
                      const config::Configuration& aAfter,
                      std::uint32_t aSample);

/// @brief The preview as lines of key=value pairs.
std::string toText(const Preview& aPreview);

} // namespace cornelcross::tools::check
