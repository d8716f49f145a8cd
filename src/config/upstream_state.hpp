#pragma once

#include <optional>
#include <string_view>

namespace cornelcross::config {

/// @brief What operators declare about an upstream.
enum class UpstreamState
{
  kJoining, ///< starting; takes new flows, slowly at first
  kServing, ///< takes new flows
  kLeaving, ///< keeps its established flows and takes no new one
  kRemoved, ///< no longer listed, but may still hold flows; never stands in a document
};

/// @brief Name used in configuration files and logs.
std::string_view toString(UpstreamState aState);

/// @brief Parses "joining", "serving" or "leaving"; empty on any other input.
std::optional<UpstreamState> parseUpstreamState(std::string_view aText);

} // namespace cornelcross::config
