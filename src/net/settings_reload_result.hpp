#pragma once

#include "flow/endpoint.hpp"

#include <string>
#include <variant>
#include <vector>

namespace cornelcross::net {

/// @brief The settings are as they were.
struct SettingsUnchanged
{
  auto operator<=>(const SettingsUnchanged&) const = default;
};

/// @brief What a running process takes over from changed settings; all else needs a restart.
struct SettingsUpdate
{
  std::vector<flow::Endpoint> mSeeds;
  bool mNeedsRestart = false; ///< something else has changed too

  auto operator<=>(const SettingsUpdate&) const = default;
};

/// @brief The changed settings are faulty; those in force stay.
struct SettingsError
{
  std::string mReason;

  auto operator<=>(const SettingsError&) const = default;
};

/// @brief Outcome of reading the settings again.
using SettingsReloadResult = std::variant<SettingsUnchanged, SettingsUpdate, SettingsError>;

} // namespace cornelcross::net
