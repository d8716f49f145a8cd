#pragma once

#include "config/configuration.hpp"
#include "tools/check/document_file.hpp"
#include "tools/check/finding.hpp"

namespace cornelcross::tools::check {

/// @brief Result of the validation of the documents of one file.
struct Report
{
  config::ConfigurationPtr mConfiguration;    ///< built from the valid documents
  std::vector<config::ConfigError> mErrors;   ///< errors for which a process rejects a document
  std::vector<config::ConfigError> mWarnings; ///< probable mistakes in accepted documents

  std::vector<Finding> mFindings = {}; ///< entries without effect and contradictory limits

  /// @brief True if there are no errors. Warnings and findings do not count.
  bool isValid() const { return mErrors.empty(); }
};

/// @brief Validates documents by the rules that balancers and agents apply, and finds what the
/// documents of a complete configuration declare in vain.
Report validate(const std::vector<config::Document>& aDocuments);

/// @brief Validates the text of a file. A single document has only the findings that do not depend
/// on other documents.
/// @param aFile file name, used as the path in errors
/// @param aKey  key of the single document in aText; if empty, aText is an object {KEY: VALUE, ...}
Report validateText(const std::string& aFile, const std::string& aText, const std::string& aKey);

} // namespace cornelcross::tools::check
