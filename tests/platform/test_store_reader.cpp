#include "platform/store/restored_store.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;

namespace {

struct ChangedStore : test::RestoredStore
{
  ChangedStore() { changeAfterCopy(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_reader, ChangedStore)

// Guards against changes that are dropped because a restored store issues their revision again.
BOOST_AUTO_TEST_CASE(a_change_whose_revision_was_issued_before_is_applied_by_readers_and_peers)
{
  BOOST_TEST(mProcess.read(mStore));
  mPeer.pullFrom(mProcess);
  BOOST_TEST(mPeer.routedService() == "log");
  restore();
  mStore.put("op/config", test::makeConfig(12, "cert"));
  BOOST_TEST(mProcess.read(mStore));
  BOOST_TEST(mProcess.routedService() == "cert");
  mPeer.pullFrom(mProcess);
  BOOST_TEST(mPeer.routedService() == "cert");
}

// Guards against the same loss in a watch, whose revision the restored store has reached again.
BOOST_AUTO_TEST_CASE(a_watch_that_a_restored_store_continues_is_replaced_by_a_list)
{
  BOOST_TEST(mProcess.read(mStore));
  restore();
  mStore.put("op/config", test::makeConfig(12, "cert"));
  mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80"));
  BOOST_TEST(mProcess.read(mStore, 3));
  BOOST_TEST(mProcess.routedService() == "cert");
}

BOOST_AUTO_TEST_CASE(a_second_restore_is_applied_like_the_first)
{
  BOOST_TEST(mProcess.read(mStore));
  restore();
  BOOST_TEST(mProcess.read(mStore));
  restore();
  mStore.put("op/config", test::makeConfig(12, "cert"));
  BOOST_TEST(mProcess.read(mStore));
  BOOST_TEST(mProcess.routedService() == "cert");
}

// Guards against a restore that two processes see in a different order: one has it from a peer.
BOOST_AUTO_TEST_CASE(a_response_from_before_a_restore_that_a_peer_has_seen_is_rejected)
{
  BOOST_TEST(mProcess.read(mStore));
  BOOST_TEST(mPeer.read(mStore));
  const test::StoreContent late = mStore;
  restore();
  mStore.put("op/config", test::makeConfig(12, "cert"));
  BOOST_TEST(mPeer.read(mStore));
  mProcess.pullFrom(mPeer);
  BOOST_TEST(!mProcess.read(late));
  BOOST_TEST(mProcess.mFailure == "response after 0 restores, expected 1");
  BOOST_TEST(mProcess.routedService() == "cert");
  BOOST_TEST(mProcess.read(mStore));
}

// Guards against a large list for each pause: a check asks for the changes only.
BOOST_AUTO_TEST_CASE(a_check_asks_for_changes_and_lists_if_they_are_no_longer_available)
{
  BOOST_TEST(mProcess.read(mStore));
  std::vector<std::string> paths;
  const auto respond = [&](const std::string& aPath) {
    paths.push_back(aPath.substr(0, aPath.find('?')));
    return mStore.respond(aPath);
  };
  mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80"));
  BOOST_TEST(mProcess.check(respond));
  BOOST_TEST((paths == std::vector<std::string>{ "/-/kv-watch" }));
  paths.clear();
  BOOST_TEST(mProcess.check([&](const std::string& aPath) {
    const net::HttpClientResponse gone{ SOUP_STATUS_GONE, "", {} };
    const auto response = respond(aPath);
    return paths.size() == 1 ? gone : response;
  }));
  BOOST_TEST((paths == std::vector<std::string>{ "/-/kv-watch", "/-/kv-range" }));
}

BOOST_AUTO_TEST_CASE(a_list_whose_pages_straddle_a_restore_is_read_again)
{
  mStore.mPageSize = 1;
  BOOST_TEST(mProcess.read(mStore));
  int requests = 0;
  BOOST_TEST(mProcess.read([&](const std::string& aPath) {
    if (++requests == 2) {
      restore();
      mStore.put("op/config", test::makeConfig(12, "cert"));
      mStore.mPageSize = 1;
    }
    return mStore.respond(aPath);
  }));
  BOOST_TEST(mProcess.routedService() == "cert");
  BOOST_TEST(mProcess.upstreams().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_store_without_the_header_is_read_as_one_without_restores)
{
  mStore.mEraHeader.reset();
  BOOST_TEST(mProcess.read(mStore));
  mStore.put("op/config", test::makeConfig(12, "cert"));
  BOOST_TEST(mProcess.read(mStore, 3));
  BOOST_TEST(mProcess.routedService() == "cert");
  mStore.mEraHeader = "1";
  BOOST_TEST(mProcess.read(mStore, 3));
}

BOOST_AUTO_TEST_CASE(a_restored_store_whose_header_is_missing_does_not_bring_the_copy_back)
{
  BOOST_TEST(mProcess.read(mStore));
  test::StoreContent copy = mCopy;
  copy.mEraHeader.reset();
  BOOST_TEST(!mProcess.read(copy));
  BOOST_TEST(mProcess.mFailure == "response without a count of restores");
  BOOST_TEST(mProcess.routedService() == "log");
  restore();
  BOOST_TEST(mProcess.read(mStore));
}

// Guards against the same once the restored store has issued more numbers than before.
BOOST_AUTO_TEST_CASE(
  a_restored_store_whose_header_is_missing_is_not_read_when_its_revision_has_risen)
{
  BOOST_TEST(mProcess.read(mStore));
  test::StoreContent copy = mCopy;
  for (int i = 0; i < 4; ++i) {
    copy.put("servers/z" + std::to_string(i), test::makeBackend("log", "10.0.0.9:80"));
  }
  copy.mEraHeader.reset();
  BOOST_TEST(copy.revision() > mStore.revision());
  BOOST_TEST(!mProcess.read(copy));
  BOOST_TEST(!mProcess.read(copy, 3));
  BOOST_TEST(mProcess.upstreams().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_revision_that_falls_without_a_restore_fails_the_read)
{
  BOOST_TEST(mProcess.read(mStore));
  test::StoreContent copy = mCopy;
  BOOST_TEST(!mProcess.read(copy));
  BOOST_TEST(mProcess.mFailure == "the store went back from revision 4 to 2 without a restore");
  mStore.mEraHeader.reset();
  test::StoreProcess other(mNow);
  BOOST_TEST(other.read(mStore));
  copy.mEraHeader.reset();
  BOOST_TEST(!other.read(copy));
  BOOST_TEST(other.mFailure == "the store went back from revision 4 to 2 without a restore");
}

BOOST_AUTO_TEST_CASE(a_malformed_header_fails_the_read_and_the_next_read_succeeds)
{
  BOOST_TEST(mProcess.read(mStore));
  for (const std::string header : { "", "two", "-1", "1.5", "2,2", "99999999999999999999999" }) {
    mStore.mEraHeader = header;
    BOOST_TEST(!mProcess.read(mStore));
    BOOST_TEST(mProcess.mFailure == "malformed count of restores \"" + header + "\"");
  }
  mStore.mEraHeader = "1";
  BOOST_TEST(mProcess.read(mStore));
}

// Guards against a backend that stays listed after its record has expired: the document without it
// was stale, because the store issues no revision for the end of the time for registering again.
BOOST_AUTO_TEST_CASE(
  a_backend_that_does_not_register_again_is_removed_without_a_change_of_the_store)
{
  mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80"));
  BOOST_TEST(mProcess.read(mStore));
  mNow += 5s;
  mStore.remove("servers/y");
  BOOST_TEST(mProcess.read(mStore));
  BOOST_TEST(mProcess.upstreams().size() == 2U);
  for (int i = 0; i < 6; ++i) {
    mNow += 500ms;
    BOOST_TEST(mProcess.read(mStore, 3));
  }
  BOOST_TEST(mProcess.upstreams().size() == 1U);
}

// Guards against the same at the peers of a reader that replaces another one: its unchanged
// document had the revision of the one without the backend.
BOOST_AUTO_TEST_CASE(a_reader_that_takes_over_does_not_publish_a_document_with_a_removed_backend)
{
  mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80"));
  BOOST_TEST(mProcess.read(mStore));
  BOOST_TEST(mPeer.read(mStore));
  for (int i = 0; i < 10; ++i) {
    mNow += 500ms;
    BOOST_TEST(mProcess.read(mStore, 3));
  }
  mStore.remove("servers/y");
  BOOST_TEST(mPeer.read(mStore, 3));
  BOOST_TEST(mProcess.read(mStore, 3));
  mPeer.pullFrom(mProcess);
  BOOST_TEST(mProcess.upstreams().size() == 1U);
  BOOST_TEST(mPeer.upstreams().size() == 1U);
}

// Guards against a revision number that reaches into the epoch.
BOOST_AUTO_TEST_CASE(a_revision_number_without_room_in_a_revision_fails_the_read)
{
  BOOST_TEST(mProcess.read(mStore));
  for (const std::string number : { "17592186044416", "-1", "1.5" }) {
    BOOST_TEST(!mProcess.read([&](const std::string&) {
      return net::HttpClientResponse{ 200,
                                      R"({"items": [], "storeRevision": )" + number + "}",
                                      { { "store-era", "1" } } };
    }));
    BOOST_TEST(mProcess.mFailure.starts_with("malformed response: "));
  }
  BOOST_TEST(mProcess.read(mStore));
}

// Guards against a single corrupt header that makes all later responses seem late.
BOOST_AUTO_TEST_CASE(a_count_that_jumps_in_one_response_only_has_no_effect)
{
  BOOST_TEST(mProcess.read(mStore));
  int requests = 0;
  BOOST_TEST(mProcess.read([&](const std::string& aPath) {
    test::StoreContent content = mStore;
    content.mEraHeader = ++requests == 1 ? "4711" : "1";
    return content.respond(aPath);
  }));
  BOOST_TEST(mProcess.read(mStore, 3));
}

BOOST_AUTO_TEST_CASE(a_count_that_jumps_in_the_first_response_of_a_process_has_no_effect)
{
  int requests = 0;
  BOOST_TEST(mProcess.read([&](const std::string& aPath) {
    test::StoreContent content = mStore;
    content.mEraHeader = ++requests == 1 ? "4711" : "1";
    return content.respond(aPath);
  }));
  BOOST_TEST(mProcess.read(mStore));
  BOOST_TEST(mProcess.revision() == mStore.revision());
}

BOOST_AUTO_TEST_CASE(a_count_that_jumps_and_stays_is_adopted)
{
  BOOST_TEST(mProcess.read(mStore));
  restore();
  mStore.mEraHeader = "9";
  mStore.put("op/config", test::makeConfig(12, "cert"));
  BOOST_TEST(mProcess.read(mStore));
  BOOST_TEST(mProcess.routedService() == "cert");
}

BOOST_AUTO_TEST_CASE(a_count_that_changes_with_each_response_ends_the_read)
{
  BOOST_TEST(mProcess.read(mStore));
  int count = 1;
  BOOST_TEST(!mProcess.read([&](const std::string& aPath) {
    mStore.mEraHeader = std::to_string(++count);
    return mStore.respond(aPath);
  }));
  BOOST_TEST(mProcess.mFailure == "the count of restores changed with each response");
}

// Guards against different orders in programs with and without epochs while both run.
BOOST_AUTO_TEST_CASE(revisions_before_the_first_restore_are_those_of_the_store)
{
  BOOST_TEST(mProcess.read(mStore));
  BOOST_TEST(mProcess.revision() == mStore.revision());
}

// Guards against a program without epochs that reads the copy and makes its peers go back.
BOOST_AUTO_TEST_CASE(documents_of_a_program_without_epochs_do_not_supersede_those_after_a_restore)
{
  BOOST_TEST(mProcess.read(mStore));
  restore();
  mStore.put("op/config", test::makeConfig(12, "cert"));
  BOOST_TEST(mProcess.read(mStore));
  const config::Document route{ "address/198.18.0.1:443",
                                900,
                                R"({"services": [{"service": "log", "weight": 1}]})" };
  mProcess.accept({ 900, { route }, false });
  BOOST_TEST(mProcess.routedService() == "cert");
}

// Guards against traffic to a zone that is out of service, in a process that missed its second
// evacuation: a reader that had missed both changes deferred the unchanged zones, but published a
// configuration under a later number.
BOOST_AUTO_TEST_CASE(a_zone_that_a_reader_missed_to_return_is_out_of_service_at_its_peers)
{
  test::StoreProcess other(mNow);
  mStore.put("op/evacuate/a", "");
  readAll();
  mNow += 3s;
  mStore.remove("op/evacuate/a");
  mPeer.read(mStore, 3);
  other.pullFrom(mPeer);
  BOOST_TEST(other.isZoneInService("a"));
  mStore.put("op/evacuate/a", "");
  mStore.put("op/config", test::makeConfig(12, "cert"));
  mProcess.read(mStore, 3);
  other.pullFrom(mProcess);
  BOOST_TEST(other.routedService() == "cert");
  BOOST_TEST(!other.isZoneInService("a"));
  mPeer.read(mStore, 3);
  pass(3s);
  other.pullFrom(mPeer);
  other.pullFrom(mProcess);
  BOOST_TEST(!other.isZoneInService("a"));
}

BOOST_AUTO_TEST_SUITE_END()
