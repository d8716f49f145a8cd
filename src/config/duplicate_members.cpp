#include "config/duplicate_members.hpp"

#include <nlohmann/json.hpp>
#include <set>

namespace cornelcross::config {

namespace {

using Json = nlohmann::json;

/// Collects repeated member names with a SAX parser. The callback of the DOM parser would also
/// report the names, but the DOM parser visits all members of an object again at the end of each
/// member, which is quadratic.
class DuplicateMemberFinder : public nlohmann::json_sax<Json>
{
public:
  std::vector<std::string> takeDuplicates() { return std::move(mDuplicates); }

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
    mMemberNames.emplace_back();
    return true;
  }

  bool end_object() override
  {
    mMemberNames.pop_back();
    return true;
  }

  bool key(string_t& aName) override
  {
    if (!mMemberNames.back().insert(aName).second) {
      mDuplicates.push_back(aName);
    }
    return true;
  }

private:
  std::vector<std::set<std::string>>
    mMemberNames; ///< names seen so far in each open object, outermost first
  std::vector<std::string> mDuplicates;
};

} // namespace

std::vector<std::string> findDuplicateMembers(const std::string& aText)
{
  DuplicateMemberFinder listener;
  Json::sax_parse(aText, &listener);
  return listener.takeDuplicates();
}

} // namespace cornelcross::config
