#include "config/json_reader.hpp"

#include "config/duplicate_members.hpp"
#include "config/nesting.hpp"

#include <sstream>

namespace cornelcross::config {

void JsonReader::addError(const std::string& aPath, const std::string& aExpected)
{
  mErrors.push_back({ aPath, aExpected });
}

nlohmann::json JsonReader::parse(const std::string& aPath, const std::string& aText)
{
  if (isNestedDeeperThan(aText, kMaxNesting)) {
    addError(aPath, "at most " + std::to_string(kMaxNesting) + " nested arrays and objects");
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  // RFC 8259, section 4 does not define the meaning of repeated names. The parser would silently
  // keep the last of the members.
  for (const std::string& name : findDuplicateMembers(aText)) {
    addError(aPath, "the member \"" + name + "\" once in an object");
  }
  try {
    return nlohmann::json::parse(aText);
  } catch (const nlohmann::json::parse_error& error) {
    addError(aPath, std::string("a JSON document; ") + error.what());
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
}

bool JsonReader::checkMembers(const nlohmann::json& aObject,
                              const std::string& aPath,
                              const std::set<std::string>& aAllowed)
{
  if (aObject.is_discarded()) {
    return false;
  }
  if (!aObject.is_object()) {
    addError(aPath, "an object");
    return false;
  }
  for (const auto& member : aObject.items()) {
    if (aAllowed.count(member.key()) == 0) {
      addError(aPath + "." + member.key(), "no member of this name");
    }
  }
  return true;
}

std::string JsonReader::readString(const nlohmann::json& aObject,
                                   const std::string& aPath,
                                   const std::string& aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end() || !found->is_string() ||
      found->get_ref<const std::string&>().empty()) {
    addError(aPath + "." + aName, "a non-empty string");
    return {};
  }
  return found->get<std::string>();
}

flow::Endpoint JsonReader::readEndpoint(const nlohmann::json& aObject,
                                        const std::string& aPath,
                                        const std::string& aName)
{
  const auto found = aObject.find(aName);
  if (found != aObject.end() && found->is_string()) {
    if (const auto endpoint = flow::Endpoint::parse(found->get_ref<const std::string&>())) {
      return *endpoint;
    }
  }
  addError(aPath + "." + aName, "an IPv4 address and port as \"a.b.c.d:port\"");
  return {};
}

std::uint32_t JsonReader::readInteger(const nlohmann::json& aObject,
                                      const std::string& aPath,
                                      const std::string& aName,
                                      std::uint32_t aMin,
                                      std::uint32_t aMax,
                                      std::optional<std::uint32_t> aDefault)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end() && aDefault) {
    return *aDefault;
  }
  if (found != aObject.end() && found->is_number_integer()) {
    const auto value = found->get<std::int64_t>();
    if (value >= aMin && value <= aMax) {
      return static_cast<std::uint32_t>(value);
    }
  }
  addError(aPath + "." + aName,
           "an integer between " + std::to_string(aMin) + " and " + std::to_string(aMax));
  return aMin;
}

double JsonReader::readNumber(const nlohmann::json& aObject,
                              const std::string& aPath,
                              const std::string& aName,
                              double aMin,
                              double aMax)
{
  const auto found = aObject.find(aName);
  if (found != aObject.end() && found->is_number()) {
    const auto value = found->get<double>();
    if (value >= aMin && value <= aMax) {
      return value;
    }
  }
  std::ostringstream expected;
  expected << "a number from " << aMin << " to " << aMax;
  addError(aPath + "." + aName, expected.str());
  return aMin;
}

std::uint64_t JsonReader::readUint64(const nlohmann::json& aObject,
                                     const std::string& aPath,
                                     const std::string& aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return 0;
  }
  if (found->is_number_unsigned()) {
    return found->get<std::uint64_t>();
  }
  addError(aPath + "." + aName, "an integer of at most 64 bits that is not negative");
  return 0;
}

void JsonReader::forEach(
  const nlohmann::json& aObject,
  const std::string& aPath,
  const std::string& aName,
  const std::function<void(const nlohmann::json&, const std::string&)>& aVisit)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end() || !found->is_array()) {
    addError(aPath + "." + aName, "an array");
    return;
  }
  for (std::size_t i = 0; i < found->size(); ++i) {
    std::string path = aPath;
    path.append(".").append(aName).append("[").append(std::to_string(i)).append("]");
    aVisit((*found)[i], path);
  }
}

} // namespace cornelcross::config
