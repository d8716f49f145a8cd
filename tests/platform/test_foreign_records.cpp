#include "platform/store/items.hpp"
#include "platform/store/store_process.hpp"
#include "telemetry/event_log.hpp"

#include <boost/test/unit_test.hpp>
#include <climits>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace cornelcross;
using namespace std::chrono_literals;

using Names = std::set<std::string>;

namespace {

/// A store with three backends of two services, and two processes that read it from its bytes to
/// the accepted documents: one lists it with each read, the other one watches it.
struct ForeignRecords
{
  ForeignRecords()
  {
    mStore.put("op/config", test::makeConfig(5, "log"));
    mStore.put("servers/x", test::makeBackend("log", "10.0.0.1:80"));
    mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80"));
    mStore.put("servers/z", test::makeBackend("cert", "10.0.0.3:80"));
    pass(4s);
  }

  void read()
  {
    BOOST_TEST(mLister.read(mStore), mLister.mFailure);
    BOOST_TEST(mWatcher.read(mStore, 3), mWatcher.mFailure);
  }

  void pass(base::Duration aTime)
  {
    for (base::Duration passed{ 0 }; passed < aTime; passed += 500ms) {
      mNow += 500ms;
      read();
    }
  }

  bool hasUpstreams(const Names& aLog, const Names& aCert) const
  {
    return mLister.upstreams("log") == aLog && mWatcher.upstreams("log") == aLog &&
           mLister.upstreams("cert") == aCert && mWatcher.upstreams("cert") == aCert;
  }

  /// True if every backend is listed and a backend that drains is followed.
  bool areBackendsFollowed()
  {
    read();
    const bool areListed = hasUpstreams({ "x serving", "y serving" }, { "z serving" });
    mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80", "draining"));
    mStore.put("servers/w", test::makeBackend("cert", "10.0.0.4:80"));
    read();
    return areListed && hasUpstreams({ "x serving", "y leaving" }, { "z serving", "w serving" });
  }

  std::size_t rejections() const
  {
    return static_cast<std::size_t>(
      std::count_if(mWatcher.mEvents.begin(), mWatcher.mEvents.end(), [](const auto& aEvent) {
        return aEvent.mKind == telemetry::EventKind::kConfigRejected;
      }));
  }

  base::Time mNow{ 100s };
  test::StoreContent mStore;
  test::StoreProcess mLister{ mNow };
  test::StoreProcess mWatcher{ mNow };
};

std::string withMember(const std::string& aName, const std::string& aJson)
{
  auto record = nlohmann::json::parse(test::makeBackend("log", "10.0.0.9:80"));
  record[aName] = "PLACEHOLDER";
  std::string text = record.dump();
  const std::string placeholder = "\"PLACEHOLDER\"";
  return text.replace(text.find(placeholder), placeholder.size(), aJson);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(foreign_records, ForeignRecords)

// Guards against processes that exceed their memory at a large record, which takes a multiple of
// its size once it is parsed.
BOOST_AUTO_TEST_CASE(a_record_of_the_largest_size_of_an_item_is_rejected_by_its_size)
{
  const auto result = platform::decodeBackendRecord(std::string(1048576, '['));
  const auto* error = std::get_if<platform::DecodeError>(&result);
  BOOST_REQUIRE(error != nullptr);
  BOOST_TEST(error->mReason == "1048576 bytes, expected at most 16384");
}

// Guards against writes that block: a line of the log above PIPE_BUF bytes is not written at once.
BOOST_AUTO_TEST_CASE(a_record_does_not_make_a_long_line_in_the_log)
{
  mStore.put("servers/odd", withMember("state", "\"" + std::string(9000, 'a') + "\""));
  mStore.put("servers/odder", withMember("zone", "\"" + std::string(9000, '\x01') + "\""));
  mStore.put("servers/\x1b" + std::string(150, '"'), "no json");
  read();
  BOOST_TEST(rejections() == 3U);
  for (const telemetry::Event& event : mWatcher.mEvents) {
    const std::string line = telemetry::EventLog::format(1, "balancer-1", event);
    BOOST_TEST(line.size() < PIPE_BUF);
    BOOST_TEST(std::none_of(line.begin(), line.end(), [](char aCharacter) {
      return static_cast<unsigned char>(aCharacter) < ' ';
    }));
  }
}

BOOST_AUTO_TEST_SUITE_END()
