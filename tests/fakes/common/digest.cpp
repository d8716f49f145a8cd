#include "fakes/common/digest.hpp"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace cornelcross::fakes {

std::string digestOf(const std::string& aData)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(aData.data(), aData.size())));
  return text.data();
}

} // namespace cornelcross::fakes
