#include "config/upstream.hpp"

#include <xxhash.h>

namespace cornelcross::config {

std::uint64_t upstreamIdentity(std::string_view aService, std::string_view aUpstream)
{
  std::string text(aService);
  text += '/';
  text += aUpstream;
  return XXH3_64bits(text.data(), text.size());
}

} // namespace cornelcross::config
