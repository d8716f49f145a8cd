#pragma once

#include "config/configuration.hpp"
#include "tools/check/document_file.hpp"

namespace cornelcross::tools::check {

/// @brief Result of validating the documents of one file.
struct Report
{
  config::ConfigurationPtr mConfiguration;    ///< of the documents without a fault
  std::vector<config::ConfigError> mErrors;   ///< what the running processes would reject
  std::vector<config::ConfigError> mWarnings; ///< what they accept, but is hardly meant

  bool isValid() const { return mErrors.empty(); }
};

/// @brief Validates documents by the rules of the running processes.
Report validate(const std::vector<config::Document>& aDocuments);

/// @brief Validates the text of a file.
/// @param aFile name for errors
/// @param aKey  key of the only document; if empty, the file is {KEY: VALUE}
Report validateText(const std::string& aFile, const std::string& aText, const std::string& aKey);

} // namespace cornelcross::tools::check
