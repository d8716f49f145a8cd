#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cornelcross::fakes {

/// @brief Request line of the fakes' protocol: "KIND ID SIZE WORK_MS\n".
struct AppRequest
{
  std::string mKind;         ///< "lookup", "download", "reading" or "save" (not idempotent)
  std::string mId;           ///< unique in a run; the ledger's key for a save
  std::uint32_t mSize = 0;   ///< bytes of the answer's body
  std::uint32_t mWorkMs = 0; ///< time that it takes a slot

  auto operator<=>(const AppRequest&) const = default;

  std::string toLine() const;
  static std::optional<AppRequest> parse(const std::string& aLine);
};

/// @brief Answer line: "STATUS ID SIZE\n", followed by SIZE bytes of body.
struct AppAnswer
{
  std::string mStatus; ///< "ok", or "shed" if the request was not run
  std::string mId;
  std::uint32_t mSize = 0;

  auto operator<=>(const AppAnswer&) const = default;

  std::string toLine() const;
  static std::optional<AppAnswer> parse(const std::string& aLine);
};

/// @brief Body of the answer to the request aId: reproducible, and different for each id.
std::string bodyOf(const std::string& aId, std::uint32_t aSize);

} // namespace cornelcross::fakes
