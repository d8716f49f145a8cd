#include "tools/check/printable.hpp"

#include <cstdint>
#include <cstdio>

namespace cornelcross::tools::check {

namespace {

constexpr unsigned char kDelete = 0x7F;

/// Lengths of a UTF-8 sequence and the range of its second byte (RFC 3629, section 4).
struct Utf8Lead
{
  std::size_t mLength = 0; ///< 0: not the first byte of a sequence
  unsigned char mSecondMin = 0x80;
  unsigned char mSecondMax = 0xBF;
};

Utf8Lead classifyLead(unsigned char aByte)
{
  if (aByte < 0x80) {
    return { 1 };
  }
  if (aByte >= 0xC2 && aByte <= 0xDF) {
    return { 2 };
  }
  if (aByte >= 0xE0 && aByte <= 0xEF) {
    return { 3,
             static_cast<unsigned char>(aByte == 0xE0 ? 0xA0 : 0x80),
             static_cast<unsigned char>(aByte == 0xED ? 0x9F : 0xBF) };
  }
  if (aByte >= 0xF0 && aByte <= 0xF4) {
    return { 4,
             static_cast<unsigned char>(aByte == 0xF0 ? 0x90 : 0x80),
             static_cast<unsigned char>(aByte == 0xF4 ? 0x8F : 0xBF) };
  }
  return {};
}

/// Length of the valid UTF-8 sequence at aPosition; 0 if there is none.
std::size_t sequenceLength(const std::string& aText, std::size_t aPosition)
{
  const auto byteAt = [&](std::size_t aIndex) { return static_cast<unsigned char>(aText[aIndex]); };
  const Utf8Lead lead = classifyLead(byteAt(aPosition));
  if (lead.mLength == 0 || lead.mLength > aText.size() - aPosition) {
    return 0;
  }
  for (std::size_t i = 1; i < lead.mLength; ++i) {
    const unsigned char byte = byteAt(aPosition + i);
    const bool isSecond = i == 1;
    if (byte < (isSecond ? lead.mSecondMin : 0x80) || byte > (isSecond ? lead.mSecondMax : 0xBF)) {
      return 0;
    }
  }
  return lead.mLength;
}

/// True for the characters U+0000 to U+001F and U+007F to U+009F.
bool isControl(const std::string& aText, std::size_t aPosition, std::size_t aLength)
{
  const auto first = static_cast<unsigned char>(aText[aPosition]);
  if (aLength == 1) {
    return first < ' ' || first == kDelete;
  }
  return aLength == 2 && first == 0xC2 && static_cast<unsigned char>(aText[aPosition + 1]) < 0xA0;
}

} // namespace

std::string printable(const std::string& aText)
{
  std::string result;
  std::size_t position = 0;
  while (position < aText.size() && position < kMaxPrintedBytes) {
    const std::size_t length = sequenceLength(aText, position);
    if (length > 0 && !isControl(aText, position, length)) {
      result.append(aText, position, length);
      position += length;
      continue;
    }
    char escaped[8];
    std::snprintf(escaped, sizeof(escaped), "\\x%02X", static_cast<unsigned char>(aText[position]));
    result += escaped;
    ++position;
  }
  return position < aText.size() ? result + "..." : result;
}

} // namespace cornelcross::tools::check
