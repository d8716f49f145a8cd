#include "tools/check/document_file.hpp"

#include "config/json_reader.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>

namespace cornelcross::tools::check {

namespace {

std::variant<std::string, FileError> readStream(const std::string& aFile, std::istream& aStream)
{
  constexpr std::size_t kChunkBytes = std::size_t{ 1 } << 16U;
  std::string text;
  std::string chunk(kChunkBytes, '\0');
  while (aStream) {
    aStream.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
    text.append(chunk, 0, static_cast<std::size_t>(aStream.gcount()));
    if (text.size() > kMaxFileBytes) {
      return FileError{ aFile + ": larger than " + std::to_string(kMaxFileBytes) + " bytes" };
    }
  }
  if (aStream.bad()) {
    return FileError{ aFile + ": cannot be read" };
  }
  return text;
}

} // namespace

std::variant<std::string, FileError> readText(const std::string& aFile)
{
  if (aFile == "-") {
    return readStream("standard input", std::cin);
  }
  std::ifstream file(aFile);
  if (!file) {
    return FileError{ aFile + ": " + std::strerror(errno) };
  }
  return readStream(aFile, file);
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
