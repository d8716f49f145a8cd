#include "tools/check/result.hpp"

#include <algorithm>

namespace cornelcross::tools::check {

bool Result::hasFindings() const
{
  const bool hasErrors = std::any_of(mFiles.begin(), mFiles.end(), [](const CheckedFile& aFile) {
    return !aFile.mReport.isValid();
  });
  return hasErrors || (!mFiles.empty() && !mFiles.back().mReport.mFindings.empty());
}

} // namespace cornelcross::tools::check
