#pragma once

#include "flow/endpoint.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornelcross::net {

/// @brief The settings have not changed.
struct SettingsUnchanged
{
  auto operator<=>(const SettingsUnchanged&) const = default;
};

/// @brief Changed settings that a running process applies; any other change needs a restart.
struct SettingsUpdate
{
  std::vector<flow::Endpoint> mSeeds;
  std::string mService; ///< service of the upstream beside an agent; may be empty
  std::optional<flow::Endpoint> mUpstream; ///< endpoint of the upstream beside an agent
  bool mNeedsRestart = false;              ///< other settings have changed too

  auto operator<=>(const SettingsUpdate&) const = default;
};

/// @brief The changed settings are invalid; the active settings stay.
struct SettingsError
{
  std::string mReason;

  auto operator<=>(const SettingsError&) const = default;
};

/// @brief Outcome of reloading the settings.
using SettingsReloadResult = std::variant<SettingsUnchanged, SettingsUpdate, SettingsError>;

} // namespace cornelcross::net
