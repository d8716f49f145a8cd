#include "fakes/common/application_protocol.hpp"

#include <random>
#include <sstream>

namespace cornelcross::fakes {

std::string AppRequest::toLine() const
{
  return mKind + " " + mId + " " + std::to_string(mSize) + " " + std::to_string(mWorkMs) + "\n";
}

std::optional<AppRequest> AppRequest::parse(const std::string& aLine)
{
  std::istringstream stream(aLine);
  AppRequest request;
  if (!(stream >> request.mKind >> request.mId >> request.mSize >> request.mWorkMs)) {
    return std::nullopt;
  }
  return request;
}

std::string AppAnswer::toLine() const
{
  return mStatus + " " + mId + " " + std::to_string(mSize) + "\n";
}

std::optional<AppAnswer> AppAnswer::parse(const std::string& aLine)
{
  std::istringstream stream(aLine);
  AppAnswer answer;
  if (!(stream >> answer.mStatus >> answer.mId >> answer.mSize)) {
    return std::nullopt;
  }
  return answer;
}

std::string bodyOf(const std::string& aId, std::uint32_t aSize)
{
  std::mt19937_64 random(std::hash<std::string>{}(aId));
  std::string body;
  body.reserve(aSize + sizeof(std::uint64_t));
  while (body.size() < aSize) {
    const std::uint64_t word = random();
    for (unsigned i = 0; i < sizeof(word); ++i) {
      body += static_cast<char>('a' + ((word >> (8U * i)) & 0x0FU));
    }
  }
  body.resize(aSize);
  return body;
}

} // namespace cornelcross::fakes
