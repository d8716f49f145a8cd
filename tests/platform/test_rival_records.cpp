#include "platform/store/foreign_records.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;
using test::ForeignRecords;
using test::Names;

namespace {

using Json = nlohmann::json;

constexpr const char* kMissing = "missing";

/// Ways in which a member of a record is not what a backend writes, by name of the member.
const std::map<std::string, std::vector<std::string>>& oddMembers()
{
  static const std::string kLong = '"' + std::string(201, 'a') + '"';
  static const std::map<std::string, std::vector<std::string>> kAll{
    { "service", { kMissing, "null", "7", "\"\"", kLong, "\"nobody\"" } },
    { "address",
      { kMissing,
        "null",
        "7",
        "\"10.0.0.1:65536\"",
        "\"10.0.0.1:0\"",
        "\"0.0.0.0:80\"",
        "\"x\"" } },
    { "zone", { kMissing, "null", "7", "\"\"", kLong, "\"elsewhere\"" } },
    { "version", { kMissing, "null", "7", "\"\"", kLong, "{}" } },
    { "capacity", { kMissing, "null", "\"7\"", "0", "-1", "4.5", "1e300", "100001" } },
    { "state", { kMissing, "null", "7", "\"\"", "\"asleep\"", "[\"ready\"]" } },
    { "warmupLeftMs", { kMissing, "null", "\"0\"", "-1", "1e400", "true" } },
    { "sequence", { kMissing, "null", "\"1\"", "-1", "0.5", "1e300", "true" } },
  };
  return kAll;
}

/// State of the record that the backend itself writes.
enum class Own
{
  kAbsent,
  kReady,
  kDraining,
};

struct Case
{
  std::string mMember;
  std::string mValue;
  Own mOwn;
  bool mIsForeignFirst; ///< the foreign record was created before the own one
  bool mIsRecovering;   ///< the store returned from a copy
};

std::string describe(const Case& aCase)
{
  return aCase.mMember + " " + aCase.mValue.substr(0, 40) + ", own record " +
         std::to_string(static_cast<int>(aCase.mOwn)) + ", foreign first " +
         std::to_string(aCase.mIsForeignFirst) + ", recovering " +
         std::to_string(aCase.mIsRecovering);
}

/// Record of another writer that states the service and the address of the backend x, with one
/// member changed.
std::string foreignRecord(const Case& aCase)
{
  auto record = Json::parse(
    test::makeBackend("log", "10.0.0.1:80", aCase.mOwn == Own::kReady ? "draining" : "ready"));
  record["zone"] = "b";
  record["capacity"] = 1;
  if (aCase.mValue == kMissing) {
    record.erase(aCase.mMember);
    return record.dump();
  }
  record[aCase.mMember] = "PLACEHOLDER";
  std::string text = record.dump();
  const std::string placeholder = "\"PLACEHOLDER\"";
  return text.replace(text.find(placeholder), placeholder.size(), aCase.mValue);
}

/// The own record of the backend x, written by each heartbeat.
struct OwnRecord
{
  void write()
  {
    if (mState != Own::kAbsent) {
      mStore.put("servers/x",
                 test::makeBackend("log",
                                   "10.0.0.1:80",
                                   mState == Own::kDraining ? "draining" : "ready",
                                   1000,
                                   ++mSequence));
    }
  }

  test::StoreContent& mStore;
  Own mState;
  std::uint64_t mSequence = 1;
};

Names logUpstreams(Own aOwn)
{
  switch (aOwn) {
    case Own::kAbsent:
      return { "y serving" };
    case Own::kReady:
      return { "x serving", "y serving" };
    case Own::kDraining:
      return { "x leaving", "y serving" };
  }
  return {};
}

/// Zone and slots of an upstream of "log" as a process lists it; empty if it does not.
std::string zoneAndSlotsOf(const test::StoreProcess& aProcess, const std::string& aName)
{
  for (const auto& upstream : aProcess.configuration().mServices.at("log").mUpstreams) {
    if (upstream.mName == aName) {
      return upstream.mZone + " " + std::to_string(upstream.mSlots);
    }
  }
  return "";
}

void playCase(ForeignRecords& aStore, OwnRecord& aOwn, const Case& aCase)
{
  const std::size_t rejectionsBefore = aStore.rejections();
  const auto writeForeign = [&] { aStore.mStore.put("servers/odd", foreignRecord(aCase)); };
  aStore.mStore.remove("servers/odd");
  if (aCase.mIsForeignFirst) {
    aStore.mStore.remove("servers/x");
    aStore.read();
    writeForeign();
    aOwn.write();
  } else {
    aOwn.write();
    writeForeign();
  }
  aStore.read();
  if (aCase.mIsRecovering) {
    const test::StoreContent copy = aStore.mStore;
    aStore.mStore.restore(copy);
  }
  for (int heartbeat = 0; heartbeat < 2; ++heartbeat) {
    aStore.pass(500ms);
    aOwn.write();
    writeForeign();
    aStore.read();
    BOOST_TEST(aStore.hasUpstreams(logUpstreams(aCase.mOwn), { "z serving" }), describe(aCase));
    BOOST_TEST(zoneAndSlotsOf(aStore.mWatcher, "x") == (aCase.mOwn == Own::kAbsent ? "" : "a 7"),
               describe(aCase));
  }
  BOOST_TEST(aStore.rejections() == rejectionsBefore + 1, describe(aCase));
}

/// Plays all odd members one after the other against one store.
void playAll(Own aOwn, bool aIsForeignFirst, bool aIsRecovering)
{
  ForeignRecords store;
  OwnRecord own{ store.mStore, aOwn };
  store.mStore.remove("servers/x");
  store.pass(4s);
  for (const auto& [member, values] : oddMembers()) {
    for (const std::string& value : values) {
      playCase(store, own, { member, value, aOwn, aIsForeignFirst, aIsRecovering });
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(rival_records)

// Guards against new flows to a backend that drains or whose zone is out of service: a record of
// another writer, which lacks what each backend writes, replaced the backend's own.
BOOST_AUTO_TEST_CASE(a_record_that_is_not_whole_changes_nothing_and_is_reported_once)
{
  for (const Own own : { Own::kAbsent, Own::kReady, Own::kDraining }) {
    for (const bool isForeignFirst : { false, true }) {
      for (const bool isRecovering : { false, true }) {
        playAll(own, isForeignFirst, isRecovering);
      }
    }
  }
}

// Guards against the same by a record that is whole: the backend's own record goes on being
// written, so that the later one is none of a later start.
BOOST_FIXTURE_TEST_CASE(a_later_record_yields_to_an_earlier_one_that_is_written_after_it,
                        ForeignRecords)
{
  OwnRecord own{ mStore, Own::kDraining, 1 };
  own.write();
  read();
  auto foreign = Json::parse(test::makeBackend("log", "10.0.0.1:80"));
  foreign["zone"] = "b";
  for (int heartbeat = 0; heartbeat < 5; ++heartbeat) {
    mStore.put("servers/odd", foreign.dump());
    own.write();
    read();
    BOOST_TEST(hasUpstreams({ "x leaving", "y serving" }, { "z serving" }));
    BOOST_TEST(zoneAndSlotsOf(mLister, "x") == "a 7");
    pass(1s);
  }
  BOOST_TEST(rejections() == 1U);
}

// Guards against a later record that stays selected because only what the records state is compared
// when they are renewed.
BOOST_FIXTURE_TEST_CASE(a_renewal_of_the_earlier_record_takes_effect_with_the_next_read,
                        ForeignRecords)
{
  mStore.put("servers/odd", test::makeBackend("log", "10.0.0.1:80", "draining"));
  read();
  mStore.put("servers/x", test::makeBackend("log", "10.0.0.1:80", "ready", 1000, 2));
  read();
  BOOST_TEST(hasUpstreams({ "x serving", "y serving" }, { "z serving" }));
}

// Guards against a restarted backend that is not listed, because the record of its former start was
// renewed until shortly before.
BOOST_FIXTURE_TEST_CASE(a_record_of_a_later_start_replaces_one_that_is_no_longer_written,
                        ForeignRecords)
{
  mStore.put("servers/x", test::makeBackend("log", "10.0.0.1:80", "ready", 1000, 9));
  mStore.put("servers/new", test::makeBackend("log", "10.0.0.1:80", "ready", 500));
  for (std::uint64_t sequence = 2; sequence < 6; ++sequence) {
    read();
    BOOST_TEST(hasUpstreams({ "new serving", "y serving" }, { "z serving" }));
    mStore.put("servers/new", test::makeBackend("log", "10.0.0.1:80", "ready", 500, sequence));
  }
  BOOST_TEST(rejections() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
