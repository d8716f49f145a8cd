#include "config/repeated_names.hpp"

#include <nlohmann/json.hpp>
#include <set>

namespace cornelcross::config {

namespace {

using Json = nlohmann::json;

/// Follows the objects of a text. The parser's callback would do, but it walks over an object's
/// members again at the end of each of them, which is quadratic.
class NameListener : public nlohmann::json_sax<Json>
{
public:
  std::vector<std::string> takeRepeated() { return std::move(mRepeated); }

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_array(std::size_t) override { return true; }
  bool end_array() override { return true; }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override
  {
    return false;
  }

  bool start_object(std::size_t) override
  {
    mNames.emplace_back();
    return true;
  }

  bool end_object() override
  {
    mNames.pop_back();
    return true;
  }

  bool key(string_t& aName) override
  {
    if (!mNames.back().insert(aName).second) {
      mRepeated.push_back(aName);
    }
    return true;
  }

private:
  std::vector<std::set<std::string>> mNames; ///< of the open objects
  std::vector<std::string> mRepeated;
};

} // namespace

std::vector<std::string> findRepeatedNames(const std::string& aText)
{
  NameListener listener;
  Json::sax_parse(aText, &listener);
  return listener.takeRepeated();
}

} // namespace cornelcross::config
