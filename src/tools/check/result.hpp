#pragma once

#include "tools/check/difference.hpp"
#include "tools/check/preview.hpp"
#include "tools/check/report.hpp"

#include <optional>

namespace cornelcross::tools::check {

/// @brief Largest number of errors, warnings or findings of a file that are listed. The counts
/// include all.
inline constexpr std::size_t kMaxListed = 100;

/// @brief A file and the result of its validation.
struct CheckedFile
{
  std::string mFile;
  Report mReport;
};

/// @brief All that one run of the program prints.
struct Result
{
  std::vector<CheckedFile> mFiles; ///< the version in force first, if there are two
  std::vector<Difference> mDifferences;
  std::optional<Preview> mPreview; ///< empty unless two files are valid

  /// @brief True if a file has errors, or the last file has findings. What is wrong in the version
  /// in force does not count against a change that corrects it.
  bool hasFindings() const;
};

/// @brief Formats a result as lines for a reader.
std::string toText(const Result& aResult);

/// @brief Formats a result as one JSON object.
std::string toJson(const Result& aResult);

} // namespace cornelcross::tools::check
