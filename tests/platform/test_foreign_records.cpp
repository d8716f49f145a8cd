#include "platform/store/foreign_records.hpp"
#include "telemetry/event_log.hpp"

#include <boost/test/unit_test.hpp>
#include <climits>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace cornelcross;
using namespace std::chrono_literals;

using test::ForeignRecords;

namespace {

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

// Guards against processes that end, or no longer follow the store, at a record that no backend
// wrote.
BOOST_AUTO_TEST_CASE(a_record_with_an_odd_member_is_not_used_and_changes_nothing_else)
{
  const std::string deep = std::string(5000, '[') + std::string(5000, ']');
  for (const std::string& record : {
         deep,
         std::string(100000, '['),
         std::string(100000, '{'),
         withMember("extra", deep) + "]",
         withMember("address", "\"10.0.0.9:65536\""),
         withMember("address", "\"10.0.0.9:0\""),
         withMember("address", "\"10.0.0.9:-1\""),
         withMember("address", "\"0.0.0.0:80\""),
         withMember("address", "\"255.255.255.255:80\""),
         withMember("address", "\"10.0.0.9:8172\""), // the port of the agents
         withMember("capacity", "1e400"),
         withMember("capacity", "1e300"),
         withMember("capacity", "4.5"),
         withMember("capacity", "99999999999999999999999999"),
         withMember("born", "-1"),
         withMember("born", "1e300"),
         withMember("born", "1e400"),
         withMember("born", "1.5"),
         withMember("born", "99999999999999999999999999"),
         withMember("warmupLeftMs", "1e400"),
         withMember("zone", "\"" + std::string(100000, 'a') + "\""),
         withMember("zone", "\"\\ud800\""),
         withMember("service", "\"nobody\""),
         std::string("\xff\xfe\x00", 3),
         std::string(),
       }) {
    ForeignRecords store;
    store.mStore.put("servers/odd", record);
    BOOST_TEST(store.areBackendsFollowed(), record.substr(0, 300));
  }
}

// Guards against a service whose upstreams no longer change: a key without an id made its document
// invalid.
BOOST_AUTO_TEST_CASE(a_record_without_an_id_is_not_used_and_changes_nothing_else)
{
  mStore.put("servers/", test::makeBackend("log", "10.0.0.9:80"));
  BOOST_TEST(areBackendsFollowed());
}

// Guards against processes that exceed their memory at a large record, which takes a multiple of
// its size once it is parsed.
BOOST_AUTO_TEST_CASE(a_record_of_the_largest_size_of_an_item_is_rejected_by_its_size)
{
  const auto result = platform::decodeBackendRecord(std::string(1048576, '['));
  const auto* error = std::get_if<platform::DecodeError>(&result);
  BOOST_REQUIRE(error != nullptr);
  BOOST_TEST(error->mReason == "1048576 bytes, expected at most 16384");
}

// Guards against a list that is rejected whole because of a member that decides little.
BOOST_AUTO_TEST_CASE(an_item_without_a_usable_lease_is_read)
{
  for (const char* lease : { "null", "-1", "1e300", "\"\"" }) {
    const auto result = platform::decodeResponse(
      R"({"storeRevision": 1, "items": [{"key": "servers/x", "revision": 1, "value": "", "created": )" +
      std::string(lease) + ", \"lease\": " + lease + "}]}");
    const auto* response = std::get_if<platform::StoreResponse>(&result);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->mItems.front().mHasLease);
    BOOST_TEST(response->mItems.front().mCreated == 0U);
  }
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

// Guards against a log that fills with one line for each read of an item.
BOOST_AUTO_TEST_CASE(a_record_that_is_not_used_is_reported_once)
{
  mStore.putPermanent("servers/odd", "no json");
  mStore.putPermanent("servers/claim", test::makeBackend("cert", "10.0.0.1:80"));
  pass(3s);
  BOOST_TEST(rejections() == 2U);
  mStore.putPermanent("servers/odd", "still no json");
  pass(3s);
  BOOST_TEST(rejections() == 3U);
}

// Guards against a backend that is no longer listed: a record of a service that does not exist,
// with the backend's address and a later start, took its place.
BOOST_AUTO_TEST_CASE(a_record_of_an_unknown_service_takes_no_address)
{
  mStore.put("servers/odd", test::makeBackend("nobody", "10.0.0.1:80", "ready", 9000));
  BOOST_TEST(areBackendsFollowed());
}

// Guards against services whose documents are invalid, so that their upstreams no longer change: a
// record has the VM of another backend with another port, or the port of its agent.
BOOST_AUTO_TEST_CASE(a_record_with_the_vm_of_a_backend_takes_nothing_from_it)
{
  for (const char* service : { "log", "cert" }) {
    for (const char* address : { "10.0.0.1:81", "10.0.0.3:81", "10.0.0.1:8172" }) {
      for (const std::uint64_t start : { 0, 9000 }) {
        ForeignRecords store;
        store.mStore.put("servers/odd", test::makeBackend(service, address, "ready", start));
        BOOST_TEST(store.areBackendsFollowed(), service << " " << address << " " << start);
      }
    }
  }
}

// Guards against a backend that is no longer listed because another service claims its address.
BOOST_AUTO_TEST_CASE(an_address_stays_with_its_backend_while_the_record_of_that_one_is_renewed)
{
  mStore.put("servers/odd", test::makeBackend("cert", "10.0.0.1:80", "ready", 9000));
  BOOST_TEST(areBackendsFollowed());
}

BOOST_AUTO_TEST_CASE(an_address_that_is_used_again_is_listed_once_the_former_record_is_removed)
{
  mStore.put("servers/new", test::makeBackend("cert", "10.0.0.1:80", "ready", 9000));
  pass(3s);
  mStore.remove("servers/x");
  read();
  BOOST_TEST(hasUpstreams({ "y serving" }, { "z serving", "new serving" }));
}

// Guards against a restarted backend that counts as warm until its former record expires.
BOOST_AUTO_TEST_CASE(a_backend_that_restarts_with_another_id_replaces_its_former_record_at_once)
{
  // The clock of the VM went back in between.
  mStore.put("servers/new", test::makeBackend("log", "10.0.0.1:80", "draining", 500));
  read();
  BOOST_TEST(hasUpstreams({ "new leaving", "y serving" }, { "z serving" }));
}

// Guards against a log that fills with one line for each process and backend after a loss of power:
// the former record of a backend that restarted is in order until it expires.
BOOST_AUTO_TEST_CASE(the_former_record_of_a_backend_that_restarted_is_not_reported)
{
  mStore.put("servers/x2", test::makeBackend("log", "10.0.0.1:80"));
  mStore.put("servers/y2", test::makeBackend("log", "10.0.0.2:80"));
  mStore.put("servers/z2", test::makeBackend("cert", "10.0.0.3:80"));
  pass(3s);
  BOOST_TEST(hasUpstreams({ "x2 serving", "y2 serving" }, { "z2 serving" }));
  BOOST_TEST(rejections() == 0U);
  mStore.put("servers/odd", test::makeBackend("cert", "10.0.0.1:80"));
  pass(3s);
  BOOST_TEST(rejections() == 1U);
}

// Guards against a backend that is not listed because of a record that nobody renews.
BOOST_AUTO_TEST_CASE(a_record_without_a_lease_yields_to_one_with_a_lease)
{
  mStore.putPermanent("servers/odd", test::makeBackend("log", "10.0.0.7:80", "draining", 9000));
  mStore.putPermanent("servers/odder", test::makeBackend("log", "10.0.0.8:81"));
  mStore.put("servers/v", test::makeBackend("log", "10.0.0.7:80"));
  mStore.put("servers/u", test::makeBackend("cert", "10.0.0.8:80"));
  read();
  BOOST_TEST(hasUpstreams({ "x serving", "y serving", "v serving" }, { "z serving", "u serving" }));
  mStore.putPermanent("servers/later", test::makeBackend("log", "10.0.0.7:80", "draining", 9000));
  read();
  BOOST_TEST(hasUpstreams({ "x serving", "y serving", "v serving" }, { "z serving", "u serving" }));
}

// Guards against a backend that is not listed after an outage of the store: its record expired, and
// a record that nobody renews has its VM.
BOOST_AUTO_TEST_CASE(a_record_without_a_lease_does_not_replace_a_backend_that_may_register_again)
{
  mStore.putPermanent("servers/odd", test::makeBackend("cert", "10.0.0.1:81"));
  mStore.putPermanent("servers/odder", test::makeBackend("log", "10.0.0.2:80", "draining", 9000));
  read();
  mNow += 10s;
  mStore.remove("servers/x");
  mStore.remove("servers/y");
  mStore.remove("servers/z");
  read();
  BOOST_TEST(hasUpstreams({ "x serving", "y serving" }, { "z serving" }));
  mStore.put("servers/x", test::makeBackend("log", "10.0.0.1:80"));
  mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80"));
  mStore.put("servers/z", test::makeBackend("cert", "10.0.0.3:80"));
  pass(4s);
  BOOST_TEST(areBackendsFollowed());
}

// Guards against any other combination of members and addresses that harms another record.
BOOST_AUTO_TEST_CASE(arbitrary_records_harm_no_backend)
{
  const bool holds = rc::check("arbitrary records", [] {
    ForeignRecords store;
    const auto count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i) {
      const auto member = [](auto... aTexts) {
        return *rc::gen::element<std::string>("null", "-1", "1e300", "[[]]", "{}", aTexts...);
      };
      const auto valid = [](const std::string& aValid, const std::string& aOdd) {
        return *rc::gen::inRange(0, 6) == 0 ? aOdd : aValid;
      };
      const std::string address = *rc::gen::element<std::string>(
        "10.0.0.1:80", "10.0.0.1:81", "10.0.0.2:8172", "10.0.0.3:80", "10.0.0.8:80", "10.0.0.8:81");
      const std::string service = *rc::gen::element<std::string>("log", "cert", "nobody");
      // One member a statement: the compiler chooses the order of the operands of an expression.
      std::string text = "{\"service\":" + valid("\"" + service + "\"", member("\"\""));
      text += ",\"address\":" +
              valid("\"" + address + "\"", member("\"10.0.0.1:99999\"", "\"0.0.0.0:1\""));
      text += ",\"zone\":" + valid("\"a\"", member("\"\"", "\"elsewhere\""));
      text += ",\"version\":" + valid("\"v1\"", member("\"\"", "7"));
      text += ",\"capacity\":" + valid("7", member("0", "1e400"));
      text += ",\"warmupLeftMs\":" + valid("0", member("\"0\"", "1e400"));
      text += ",\"sequence\":" + valid("1", member("0.5", "\"1\""));
      text += ",\"state\":" + valid("\"ready\"", member("\"asleep\"", "\"draining\""));
      text += ",\"born\":" + valid("9000", member("0", "18446744073709551615")) + "}";
      const std::string id = *rc::gen::element<std::string>("", "odd", "a/b", "\"", "10.0.0.1");
      const bool isSameBackend = (service == "log" && (address == "10.0.0.1:80")) ||
                                 (service == "cert" && address == "10.0.0.3:80");
      if (isSameBackend) {
        store.mStore.putPermanent("servers/" + id, text); // with a lease, it is a restart
      } else {
        store.mStore.put("servers/" + id, text);
      }
    }
    store.mNow += 10s; // an outage of the store
    store.read();
    const auto isListed = [&](const std::string& aService, const std::string& aUpstream) {
      return store.mLister.upstreams(aService).contains(aUpstream) &&
             store.mWatcher.upstreams(aService).contains(aUpstream);
    };
    RC_ASSERT(isListed("log", "x serving"));
    RC_ASSERT(isListed("log", "y serving"));
    RC_ASSERT(isListed("cert", "z serving"));
    store.mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80", "draining"));
    store.mStore.put("servers/w", test::makeBackend("cert", "10.0.0.4:80"));
    store.read();
    RC_ASSERT(isListed("log", "y leaving"));
    RC_ASSERT(isListed("cert", "w serving"));
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
