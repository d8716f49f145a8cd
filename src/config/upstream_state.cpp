#include "config/upstream_state.hpp"

namespace cornelcross::config {

std::string_view toString(UpstreamState aState)
{
  switch (aState) {
    case UpstreamState::kJoining:
      return "joining";
    case UpstreamState::kServing:
      return "serving";
    case UpstreamState::kLeaving:
      return "leaving";
    case UpstreamState::kRemoved:
      return "gone";
  }
  return "unknown";
}

std::optional<UpstreamState> parseUpstreamState(std::string_view aText)
{
  for (const auto state :
       { UpstreamState::kJoining, UpstreamState::kServing, UpstreamState::kLeaving }) {
    if (aText == toString(state)) {
      return state;
    }
  }
  return std::nullopt;
}

} // namespace cornelcross::config
