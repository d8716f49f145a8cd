#pragma once

#include "config/config_error.hpp"
#include "config/document.hpp"

#include <string>
#include <variant>
#include <vector>

/// @brief The program cornelcross-check: validates documents and previews a configuration change.
namespace cornelcross::tools::check {

/// @brief Reason why a file cannot be opened or read.
struct FileError
{
  std::string mReason;

  auto operator<=>(const FileError&) const = default;
};

/// @brief Documents of a file or, if the text is not an object of documents, all errors.
using DocumentsOrErrors =
  std::variant<std::vector<config::Document>, std::vector<config::ConfigError>>;

/// @brief Largest file that is read: more than four times the documents of 10,000 services with ten
/// upstreams each.
inline constexpr std::size_t kMaxFileBytes = std::size_t{ 64 } << 20U;

/// @brief Reads a whole file. The name "-" selects standard input. A file above kMaxFileBytes is an
/// error.
std::variant<std::string, FileError> readText(const std::string& aFile);

/// @brief Splits a JSON object {KEY: VALUE, ...} into documents at revision 1.
/// @param aFile file name, used as the path in errors
DocumentsOrErrors splitDocuments(const std::string& aFile, const std::string& aText);

} // namespace cornelcross::tools::check
