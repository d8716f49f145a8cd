#include "tools/check/document_file.hpp"

#include "config/json_reader.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>

namespace cornelcross::tools::check {

std::variant<std::string, FileError> readText(const std::string& aFile)
{
  std::ostringstream text;
  if (aFile == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream file(aFile);
  if (!file) {
    return FileError{ aFile + ": " + std::strerror(errno) };
  }
  if (file.peek() != std::ifstream::traits_type::eof()) {
    text << file.rdbuf();
  }
  if (file.bad() || text.fail()) {
    return FileError{ aFile + ": cannot be read" };
  }
  return text.str();
}

DocumentsOrErrors splitDocuments(const std::string& aFile, const std::string& aText)
{
  config::JsonReader reader;
  const nlohmann::json value = reader.parse(aFile, aText);
  if (!value.is_discarded() && !value.is_object()) {
    reader.addError(aFile, "an object with one member for each document");
  }
  if (!reader.errors().empty()) {
    return reader.errors();
  }
  std::vector<config::Document> documents;
  for (const auto& member : value.items()) {
    documents.push_back({ member.key(), 1, member.value().dump() });
  }
  return documents;
}

} // namespace cornelcross::tools::check
