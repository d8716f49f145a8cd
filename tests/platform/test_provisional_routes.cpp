#include "platform/provisional_routes.hpp"

#include "config/document_key.hpp"
#include "config/revision.hpp"
#include "platform/reader_state.hpp"
#include "platform/store/restored_store.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;

namespace {

/// A store that returned to a copy, and a process that started afterwards and read a change.
struct ProvisionalProcess : test::RestoredStore
{
  /// The peer reads version 5 before the restore, under numbers above those of provisional
  /// revisions.
  void restoreAfterRead()
  {
    mCopy = mStore;
    for (int write = 0; write < 5; ++write) {
      mStore.put("op/config", test::makeConfig(5, "log"));
    }
    mPeer.read(mStore);
    mStore.restore(mCopy);
  }

  void readChange()
  {
    mProcess.read(mStore);
    mStore.put("op/config", test::makeConfig(7, "cert"));
    mProcess.read(mStore, 3);
  }
};

/// Configuration whose only route is at another address than that of makeConfig().
std::string makeConfigElsewhere(std::uint64_t aVersion)
{
  auto config = nlohmann::json::parse(test::makeConfig(aVersion, "log"));
  config["routes"][0]["prefix"] = "/444/";
  return config.dump();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(provisional_routes, ProvisionalProcess)

// Guards against a route that goes back in a process that started during a recovery and read a
// change, once it pulls from a peer that last read the store before the restore.
BOOST_AUTO_TEST_CASE(a_change_is_not_superseded_by_a_version_from_before_the_restore)
{
  restoreAfterRead();
  readChange();
  BOOST_TEST(mProcess.routedService() == "cert");
  mProcess.pullFrom(mPeer);
  BOOST_TEST(mProcess.routedService() == "cert");
}

// Guards against the same with a peer that has settled after the restore, before the change.
BOOST_AUTO_TEST_CASE(a_change_is_not_superseded_by_an_older_version_that_has_settled)
{
  restoreAfterRead();
  mPeer.read(mStore);
  mNow += 5s;
  mPeer.read(mStore, 3);
  readChange();
  mProcess.pullFrom(mPeer);
  BOOST_TEST(mProcess.routedService() == "cert");
  mNow += 1s;
  mPeer.read(mStore, 3);
  mPeer.pullFrom(mProcess);
  mProcess.pullFrom(mPeer);
  BOOST_TEST(mPeer.routedService() == "cert");
  BOOST_TEST(mProcess.routedService() == "cert");
}

// Guards against the same with a peer that started during the recovery too and has published more
// often: the revisions of both count the changes that each has read.
BOOST_AUTO_TEST_CASE(a_change_is_not_superseded_by_a_peer_that_published_more_often)
{
  mStore.restore(mStore);
  mPeer.read(mStore);
  for (int backend = 2; backend < 6; ++backend) {
    const std::string number = std::to_string(backend);
    mStore.put("servers/" + number, test::makeBackend("log", "10.0.0." + number + ":80"));
    mPeer.read(mStore, 3);
  }
  readChange();
  BOOST_TEST(mPeer.revision() > mProcess.revision());
  mProcess.pullFrom(mPeer);
  BOOST_TEST(mProcess.routedService() == "cert");
  BOOST_TEST(mProcess.upstreams().size() == 5U);
  mPeer.read(mStore, 3);
  BOOST_TEST(mPeer.routedService() == "cert");
}

// Guards against a lower version that the operators wrote later and that loses to a higher one.
BOOST_AUTO_TEST_CASE(a_later_item_with_a_lower_version_replaces_a_provisional_one)
{
  mStore.restore(mStore);
  readChange();
  mStore.put("op/config", test::makeConfig(6, "log"));
  mPeer.read(mStore);
  mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80"));
  mPeer.read(mStore, 3);
  mStore.put("servers/z", test::makeBackend("log", "10.0.0.3:80"));
  mPeer.read(mStore, 3);
  mProcess.pullFrom(mPeer);
  BOOST_TEST(mProcess.routedService() == "log");
}

// Guards against a process that is no reader and goes back: it has the change from a peer alone.
BOOST_AUTO_TEST_CASE(a_change_that_a_process_pulled_is_not_superseded_by_an_older_version)
{
  restoreAfterRead();
  readChange();
  test::StoreProcess other(mNow);
  other.pullFrom(mProcess);
  BOOST_TEST(other.routedService() == "cert");
  other.pullFrom(mPeer);
  BOOST_TEST(other.routedService() == "cert");
}

// Guards against the return of a route that the newer configuration lacks.
BOOST_AUTO_TEST_CASE(a_route_that_the_change_lacks_does_not_return)
{
  restoreAfterRead();
  mProcess.read(mStore);
  mStore.put("op/config", makeConfigElsewhere(7));
  mProcess.read(mStore, 3);
  mProcess.pullFrom(mPeer);
  BOOST_TEST(mProcess.routedService().empty());
  BOOST_TEST(mProcess.routedService("198.18.0.1:444") == "log");
  test::StoreProcess other(mNow);
  other.pullFrom(mPeer);
  mProcess.read(mStore, 3);
  other.pullFrom(mProcess);
  BOOST_TEST(other.routedService().empty());
  BOOST_TEST(other.routedService("198.18.0.1:444") == "log");
}

// Guards against a higher version from before the restore that loses to a provisional one.
BOOST_AUTO_TEST_CASE(a_newer_version_of_a_peer_replaces_a_provisional_one)
{
  changeAfterCopy();
  mPeer.read(mStore);
  mStore.restore(mCopy);
  readChange();
  BOOST_TEST(mPeer.revision() > mProcess.revision());
  mProcess.pullFrom(mPeer);
  BOOST_TEST(mProcess.routedService() == "log");
}

// Guards against routes that are kept under the item of a provisional state which they do not
// belong to: a peer that predates the reader state leaves the provisional one accepted.
BOOST_AUTO_TEST_CASE(routes_that_are_no_longer_provisional_are_not_kept)
{
  const config::DocumentBatch batch{ config::makeRevision(2, 1), {}, false };
  std::map<std::string, config::Document> accepted;
  accepted["address/198.18.0.1:443"] = { "address/198.18.0.1:443", 9, "{}" };
  accepted[std::string(config::kReaderStateKey)] = { std::string(config::kReaderStateKey),
                                                     2,
                                                     platform::encode({ 7, true, { 1, 4 } }) };
  const auto kept = platform::keepNewerRoutes(
    batch,
    [&](const std::string& aKey) -> std::optional<config::Document> {
      const auto found = accepted.find(aKey);
      return found == accepted.end() ? std::nullopt : std::optional(found->second);
    },
    [&](const std::string& aPrefix) {
      return aPrefix == config::kAddressPrefix
               ? std::vector<std::string>{ "address/198.18.0.1:443" }
               : std::vector<std::string>{};
    });
  BOOST_TEST((kept == batch));
}

// Guards against an item that is out of range and would give a revision of another epoch.
BOOST_AUTO_TEST_CASE(an_item_of_a_reader_state_out_of_range_counts_as_not_stated)
{
  const platform::ReaderState stated{ 7, true, { 3, 20 } };
  BOOST_TEST((platform::decodeReaderState(platform::encode(stated)) == stated));
  const platform::ReaderState unstated{ 7, true, {} };
  BOOST_TEST((platform::decodeReaderState(platform::encode(unstated)) == unstated));
  for (const char* item :
       { R"({"restores":1,"number":17592186044416})", R"({"restores":524288,"number":1})" }) {
    const auto state = platform::decodeReaderState(
      std::string(R"({"version":7,"provisional":true,"item":)") + item + "}");
    BOOST_TEST((state == unstated));
  }
  BOOST_TEST(
    !platform::decodeReaderState(R"({"version":7,"provisional":true,"item":"3"})").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
