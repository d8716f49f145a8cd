#pragma once

#include "config/config_error.hpp"
#include "config/document.hpp"

#include <string>
#include <variant>
#include <vector>

/// @brief cornelcross-check: validates documents and previews what a change would do.
namespace cornelcross::tools::check {

/// @brief Why a file gave no documents at all.
struct FileError
{
  std::string mReason;

  auto operator<=>(const FileError&) const = default;
};

/// @brief Documents of a file, or every fault of its outer form.
using ReadDocuments = std::variant<std::vector<config::Document>, std::vector<config::ConfigError>>;

/// @brief Reads a whole file; "-" is standard input.
std::variant<std::string, FileError> readText(const std::string& aFile);

/// @brief Splits the text {KEY: VALUE} into documents at revision 1.
/// @param aFile name for errors
ReadDocuments splitDocuments(const std::string& aFile, const std::string& aText);

} // namespace cornelcross::tools::check
