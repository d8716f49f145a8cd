#pragma once

#include <optional>
#include <string_view>

namespace cornelcross::config {

/// @brief State of an upstream, as operators declare it.
enum class UpstreamState
{
  kJoining, ///< starting; receives new flows, at a lower rate at first
  kServing, ///< receives new flows
  kLeaving, ///< keeps its established flows and receives no new flows
  kRemoved, ///< no longer listed, but may still own flows; not valid in a document
};

/// @brief Name of the state in documents and logs.
std::string_view toString(UpstreamState aState);

/// @brief Parses "joining", "serving" or "leaving". Returns empty on any other input.
std::optional<UpstreamState> parseUpstreamState(std::string_view aText);

} // namespace cornelcross::config
