#include "platform/store/restored_store.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;

using Names = std::set<std::string>;

namespace {

/// Two processes that start during a recovery. One of them pulls a change from the other while its
/// own read, whose response lacks the change, is in progress.
struct LateResponse : test::RestoredStore
{
  LateResponse()
  {
    changeAfterCopy();
    mStore.restore(mCopy);
    mProcess.read(mStore);
    mPeer.read(mStore);
    const test::StoreContent late = mStore;
    mProcess.startRead();
    mRespond = [late](const std::string& aPath) { return late.respond(aPath); };
    mStore.put("op/config", test::makeConfig(12, "cert"));
    mPeer.read(mStore, 3);
    mProcess.pullFrom(mPeer);
  }

  test::StoreProcess::Respond mRespond;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_recovery, test::RestoredStore)

// Guards against an older configuration that goes back into force because the copy holds it.
BOOST_AUTO_TEST_CASE(an_older_configuration_of_the_copy_stays_out_of_force)
{
  changeAfterCopy();
  mStore.put("op/config", test::makeConfig(12, "cert"));
  readAll();
  mStore.restore(mCopy);
  readAll();
  BOOST_TEST(mProcess.routedService() == "cert");
  endRecovery();
  readAll();
  BOOST_TEST(mProcess.routedService() == "cert");
  BOOST_TEST(mPeer.routedService() == "cert");
  mStore.put("op/config", test::makeConfig(12, "cert"));
  mStore.put("op/config", test::makeConfig(14, "log"));
  readAll();
  BOOST_TEST(mProcess.routedService() == "log");
  BOOST_TEST(mPeer.routedService() == "log");
}

BOOST_AUTO_TEST_CASE(configurations_that_are_written_again_one_by_one_do_not_go_back)
{
  changeAfterCopy();
  readAll();
  mStore.restore(mCopy);
  readAll();
  mStore.put("op/config", test::makeConfig(7, "cert"));
  readAll();
  BOOST_TEST(mProcess.routedService() == "log");
  mStore.put("op/config", test::makeConfig(10, "log"));
  mStore.put("op/config", test::makeConfig(12, "cert"));
  readAll();
  BOOST_TEST(mProcess.routedService() == "cert");
  BOOST_TEST(mPeer.routedService() == "cert");
}

BOOST_AUTO_TEST_CASE(
  a_lower_version_that_operators_write_after_a_restore_is_applied_after_the_recovery)
{
  changeAfterCopy();
  readAll();
  mStore.restore(mCopy);
  readAll();
  mStore.put("op/config", test::makeConfig(6, "cert"));
  readAll();
  BOOST_TEST(mProcess.routedService() == "log");
  endRecovery();
  readAll();
  BOOST_TEST(mProcess.routedService() == "cert");
  BOOST_TEST(mPeer.routedService() == "cert");
  mStore.put("op/config", test::makeConfig(8, "log"));
  readAll();
  BOOST_TEST(mProcess.routedService() == "log");
  BOOST_TEST(mPeer.routedService() == "log");
}

// Guards against traffic to a zone that the operators have taken out of service.
BOOST_AUTO_TEST_CASE(a_zone_that_the_copy_has_not_yet_out_of_service_stays_out)
{
  mCopy = mStore;
  mStore.put("op/evacuate/a", "");
  readAll();
  mStore.restore(mCopy);
  readAll();
  BOOST_TEST(!mProcess.isZoneInService("a"));
  mStore.put("op/evacuate/a", "");
  endRecovery();
  readAll();
  BOOST_TEST(!mProcess.isZoneInService("a"));
  BOOST_TEST(!mPeer.isZoneInService("a"));
}

BOOST_AUTO_TEST_CASE(a_zone_whose_return_the_processes_missed_returns_after_the_recovery)
{
  mCopy = mStore;
  mStore.put("op/evacuate/a", "");
  readAll();
  mStore.restore(mCopy);
  readAll();
  endRecovery();
  readAll();
  BOOST_TEST(mProcess.isZoneInService("a"));
  BOOST_TEST(mPeer.isZoneInService("a"));
}

BOOST_AUTO_TEST_CASE(a_zone_that_the_copy_still_has_out_of_service_returns_with_its_second_removal)
{
  mStore.put("op/evacuate/a", "");
  mCopy = mStore;
  readAll();
  mStore.remove("op/evacuate/a");
  readAll();
  BOOST_TEST(mProcess.isZoneInService("a"));
  mStore.restore(mCopy);
  readAll();
  mStore.remove("op/evacuate/a");
  mProcess.read(mStore, 3);
  mPeer.pullFrom(mProcess);
  BOOST_TEST(mProcess.isZoneInService("a"));
  BOOST_TEST(mPeer.isZoneInService("a"));
  endRecovery();
  readAll();
  BOOST_TEST(mProcess.isZoneInService("a"));
  BOOST_TEST(mPeer.isZoneInService("a"));
}

BOOST_AUTO_TEST_CASE(a_zone_whose_removal_is_written_again_before_the_first_list_stays_in_service)
{
  mStore.put("op/evacuate/a", "");
  mCopy = mStore;
  readAll();
  mStore.remove("op/evacuate/a");
  readAll();
  mStore.restore(mCopy);
  mStore.remove("op/evacuate/a");
  readAll();
  BOOST_TEST(mProcess.isZoneInService("a"));
}

// Guards against traffic to a zone whose item has the number of an earlier one that has ended.
BOOST_AUTO_TEST_CASE(a_zone_that_goes_out_of_service_again_under_a_reissued_number_is_out_at_once)
{
  readAll();
  mCopy = mStore;
  const std::uint64_t number = mStore.put("op/evacuate/a", "");
  readAll();
  mStore.remove("op/evacuate/a");
  readAll();
  mStore.restore(mCopy);
  BOOST_TEST(mStore.put("op/evacuate/a", "") == number);
  readAll();
  BOOST_TEST(!mProcess.isZoneInService("a"));
  BOOST_TEST(!mPeer.isZoneInService("a"));
}

BOOST_AUTO_TEST_CASE(a_zone_that_no_process_knew_out_of_service_is_out_at_once)
{
  readAll();
  mCopy = mStore;
  mCopy.put("op/evacuate/b", "");
  mStore.restore(mCopy);
  readAll();
  BOOST_TEST(!mProcess.isZoneInService("b"));
  mStore.remove("op/evacuate/b");
  mProcess.read(mStore, 3);
  BOOST_TEST(mProcess.isZoneInService("b"));
}

BOOST_AUTO_TEST_CASE(a_zone_that_returns_during_the_recovery_returns_at_once)
{
  mCopy = mStore;
  mStore.put("op/evacuate/a", "");
  readAll();
  mStore.restore(mCopy);
  mStore.put("op/evacuate/a", "");
  mProcess.read(mStore);
  mStore.remove("op/evacuate/a");
  mProcess.read(mStore, 3);
  BOOST_TEST(mProcess.isZoneInService("a"));
}

// Guards against new flows to a backend that leaves.
BOOST_AUTO_TEST_CASE(a_backend_that_the_copy_has_not_yet_draining_stays_leaving)
{
  mCopy = mStore;
  mStore.put("servers/x", test::makeBackend("log", "10.0.0.1:80", "draining"));
  readAll();
  mStore.restore(mCopy);
  readAll();
  BOOST_TEST(mProcess.upstreams() == Names{ "x leaving" });
  mStore.put("servers/x", test::makeBackend("log", "10.0.0.1:80", "draining"));
  endRecovery();
  readAll();
  BOOST_TEST(mProcess.upstreams() == Names{ "x leaving" });
  BOOST_TEST(mPeer.upstreams() == Names{ "x leaving" });
}

BOOST_AUTO_TEST_CASE(a_backend_that_drains_during_the_recovery_leaves_at_once)
{
  mCopy = mStore;
  readAll();
  mStore.restore(mCopy);
  readAll();
  mStore.put("servers/x", test::makeBackend("log", "10.0.0.1:80", "draining"));
  readAll();
  BOOST_TEST(mProcess.upstreams() == Names{ "x leaving" });
}

BOOST_AUTO_TEST_CASE(a_drain_that_the_copy_still_has_ends_once_the_backend_writes_again)
{
  mStore.put("servers/x", test::makeBackend("log", "10.0.0.1:80", "draining"));
  mCopy = mStore;
  mStore.put("servers/x", test::makeBackend("log", "10.0.0.1:80"));
  readAll();
  mStore.restore(mCopy);
  readAll();
  BOOST_TEST(mProcess.upstreams() == Names{ "x leaving" });
  mStore.put("servers/x", test::makeBackend("log", "10.0.0.1:80"));
  readAll();
  BOOST_TEST(mProcess.upstreams() == Names{ "x serving" });
  BOOST_TEST(mPeer.upstreams() == Names{ "x serving" });
}

// Guards against flows to the address of a backend that no longer exists.
BOOST_AUTO_TEST_CASE(a_removed_backend_of_the_copy_does_not_return)
{
  mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80"));
  mCopy = mStore;
  readAll();
  mStore.remove("servers/y");
  readAll();
  pass(3s);
  readAll();
  BOOST_TEST(mProcess.upstreams() == Names{ "x serving" });
  mStore.restore(mCopy);
  readAll();
  BOOST_TEST(mProcess.upstreams() == Names{ "x serving" });
  mStore.remove("servers/y");
  endRecovery();
  readAll();
  BOOST_TEST(mProcess.upstreams() == Names{ "x serving" });
  BOOST_TEST(mPeer.upstreams() == Names{ "x serving" });
}

BOOST_AUTO_TEST_CASE(a_backend_whose_record_of_the_copy_outlives_the_recovery_is_used)
{
  readAll();
  mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80"));
  mCopy = mStore;
  mStore.restore(mCopy);
  readAll();
  BOOST_TEST(mProcess.upstreams() == Names{ "x serving" });
  endRecovery();
  readAll();
  BOOST_TEST(mProcess.upstreams() == (Names{ "x serving", "y serving" }));
  BOOST_TEST(mPeer.upstreams() == (Names{ "x serving", "y serving" }));
}

BOOST_AUTO_TEST_CASE(a_backend_that_the_copy_lacks_stays_until_the_recovery_ends)
{
  mCopy = mStore;
  mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80"));
  readAll();
  mStore.restore(mCopy);
  readAll();
  BOOST_TEST(mProcess.upstreams() == (Names{ "x serving", "y serving" }));
  endRecovery();
  readAll();
  BOOST_TEST(mProcess.upstreams() == Names{ "x serving" });
  BOOST_TEST(mPeer.upstreams() == Names{ "x serving" });
}

// Guards against requests at the wrong service: the copy has the former backend of an address,
// whose start seems later because clocks differ.
BOOST_AUTO_TEST_CASE(an_address_that_is_used_again_stays_with_its_newer_backend)
{
  mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80", "ready", 9000));
  mCopy = mStore;
  readAll();
  mStore.remove("servers/y");
  readAll();
  pass(3s);
  mStore.put("servers/z", test::makeBackend("cert", "10.0.0.2:80", "ready", 5000));
  readAll();
  mStore.restore(mCopy);
  readAll();
  BOOST_TEST(mProcess.upstreams("log") == Names{ "x serving" });
  BOOST_TEST(mProcess.upstreams("cert") == Names{ "z serving" });
  mStore.put("servers/z", test::makeBackend("cert", "10.0.0.2:80", "ready", 5000));
  mStore.remove("servers/y");
  endRecovery();
  readAll();
  BOOST_TEST(mProcess.upstreams("log") == Names{ "x serving" });
  BOOST_TEST(mPeer.upstreams("cert") == Names{ "z serving" });
}

BOOST_AUTO_TEST_CASE(a_backend_that_restarted_under_its_name_keeps_its_later_start)
{
  mStore.put("servers/x", test::makeBackend("log", "10.0.0.1:80", "draining", 1000));
  mCopy = mStore;
  mStore.put("servers/x", test::makeBackend("log", "10.0.0.1:80", "ready", 900));
  readAll();
  mStore.restore(mCopy);
  readAll();
  BOOST_TEST(mProcess.upstreams() == Names{ "x serving" });
  mStore.put("servers/x", test::makeBackend("log", "10.0.0.1:80", "ready", 900));
  endRecovery();
  readAll();
  BOOST_TEST(mPeer.upstreams() == Names{ "x serving" });
}

// Guards against documents of the end of the recovery that are dropped as stale, because the store
// has issued no revision since they were published with what was held back.
BOOST_AUTO_TEST_CASE(the_end_of_a_recovery_takes_effect_without_a_change_of_the_store)
{
  mCopy = mStore;
  mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80"));
  readAll();
  mStore.restore(mCopy);
  mStore.put("servers/z", test::makeBackend("log", "10.0.0.3:80"));
  readAll();
  BOOST_TEST(mProcess.upstreams().contains("y serving"));
  endRecovery();
  readAll();
  BOOST_TEST(!mProcess.upstreams().contains("y serving"));
  BOOST_TEST(mProcess.upstreams().contains("z serving"));
  BOOST_TEST(mPeer.upstreams() == mProcess.upstreams());
}

// Guards against a process that starts beside running ones, reads the copy and makes them go back.
BOOST_AUTO_TEST_CASE(a_process_that_starts_during_a_recovery_does_not_supersede_running_ones)
{
  changeAfterCopy();
  mStore.put("op/config", test::makeConfig(12, "cert"));
  mStore.put("op/evacuate/a", "");
  BOOST_TEST(mProcess.read(mStore));
  mStore.restore(mCopy);
  BOOST_TEST(mPeer.read(mStore));
  BOOST_TEST(mPeer.routedService() == "log");
  mProcess.pullFrom(mPeer);
  BOOST_TEST(mProcess.routedService() == "cert");
  BOOST_TEST(!mProcess.isZoneInService("a"));
  mPeer.pullFrom(mProcess);
  BOOST_TEST(mPeer.routedService() == "cert");
  BOOST_TEST(!mPeer.isZoneInService("a"));
  mPeer.read(mStore);
  mProcess.pullFrom(mPeer);
  BOOST_TEST(mProcess.routedService() == "cert");
  BOOST_TEST(!mProcess.isZoneInService("a"));
}

// Guards against two such processes that take each other's documents for those of running ones.
BOOST_AUTO_TEST_CASE(processes_that_start_together_do_not_supersede_a_running_one)
{
  changeAfterCopy();
  mStore.put("op/config", test::makeConfig(12, "cert"));
  BOOST_TEST(mProcess.read(mStore));
  mStore.restore(mCopy);
  test::StoreProcess other(mNow);
  other.read(mStore);
  mPeer.read(mStore);
  mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80"));
  other.read(mStore, 3);
  mPeer.pullFrom(other);
  mStore.put("servers/z", test::makeBackend("log", "10.0.0.3:80"));
  mPeer.read(mStore, 3);
  mProcess.pullFrom(mPeer);
  BOOST_TEST(mProcess.routedService() == "cert");
  mPeer.pullFrom(mProcess);
  BOOST_TEST(mPeer.routedService() == "cert");
  mStore.put("op/config", test::makeConfig(14, "log"));
  mPeer.read(mStore, 3);
  BOOST_TEST(mPeer.routedService() == "log");
}

BOOST_AUTO_TEST_CASE(a_process_that_starts_beside_an_old_program_does_not_supersede_it)
{
  changeAfterCopy();
  mStore.put("op/config", test::makeConfig(12, "cert"));
  mProcess.mIsOldProgram = true;
  BOOST_TEST(mProcess.read(mStore));
  mStore.restore(mCopy);
  mPeer.read(mStore);
  BOOST_TEST(mPeer.routedService() == "log");
  mPeer.pullFrom(mProcess);
  BOOST_TEST(mPeer.routedService() == "cert");
  mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80"));
  mPeer.read(mStore, 3);
  mProcess.pullFrom(mPeer);
  BOOST_TEST(mPeer.routedService() == "cert");
  BOOST_TEST(mProcess.routedService() == "cert");
}

BOOST_AUTO_TEST_CASE(processes_that_all_start_during_a_recovery_follow_what_is_written_again)
{
  changeAfterCopy();
  mStore.restore(mCopy);
  readAll();
  BOOST_TEST(mProcess.upstreams() == Names{ "x serving" });
  mStore.put("op/config", test::makeConfig(10, "cert"));
  mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80"));
  readAll();
  BOOST_TEST(mProcess.routedService() == "cert");
  BOOST_TEST(mPeer.upstreams() == (Names{ "x serving", "y serving" }));
  endRecovery();
  readAll();
  mStore.put("op/config", test::makeConfig(11, "log"));
  readAll();
  BOOST_TEST(mProcess.routedService() == "log");
  BOOST_TEST(mPeer.routedService() == "log");
}

// Guards against a process that wakes long after a restore and holds back what is settled.
BOOST_AUTO_TEST_CASE(a_process_that_returns_after_the_recovery_of_its_peers_changes_nothing_there)
{
  mCopy = mStore;
  mStore.put("op/evacuate/a", "");
  readAll();
  mStore.restore(mCopy);
  for (int i = 0; i < 8; ++i) {
    mProcess.read(mStore);
    mNow += 500ms;
  }
  mProcess.read(mStore);
  mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80"));
  mProcess.read(mStore, 3);
  BOOST_TEST(mProcess.isZoneInService("a"));
  mPeer.read(mStore);
  BOOST_TEST(!mPeer.isZoneInService("a"));
  mProcess.pullFrom(mPeer);
  BOOST_TEST(mProcess.isZoneInService("a"));
  BOOST_TEST(mProcess.upstreams() == (Names{ "x serving", "y serving" }));
  mPeer.pullFrom(mProcess);
  mPeer.read(mStore, 3);
  BOOST_TEST(mPeer.isZoneInService("a"));
  BOOST_TEST(mPeer.upstreams() == (Names{ "x serving", "y serving" }));
}

BOOST_AUTO_TEST_CASE(a_second_restore_during_a_recovery_keeps_what_both_copies_lack)
{
  mCopy = mStore;
  mStore.put("op/config", test::makeConfig(7, "cert"));
  mStore.put("op/evacuate/a", "");
  readAll();
  mStore.restore(mCopy);
  readAll();
  pass(2s);
  mStore.restore(mCopy);
  readAll();
  pass(3s);
  readAll();
  BOOST_TEST(!mProcess.isZoneInService("a"));
  BOOST_TEST(mProcess.routedService() == "cert");
  mStore.put("op/config", test::makeConfig(9, "log"));
  endRecovery();
  readAll();
  BOOST_TEST(mProcess.isZoneInService("a"));
  BOOST_TEST(mPeer.isZoneInService("a"));
  BOOST_TEST(mProcess.routedService() == "log");
  BOOST_TEST(mPeer.routedService() == "log");
}

BOOST_AUTO_TEST_CASE(responses_of_a_store_that_recovers_do_not_count_as_current)
{
  mCopy = mStore;
  readAll();
  BOOST_TEST(mProcess.mResponse->mIsCurrent);
  mStore.restore(mCopy);
  readAll();
  BOOST_TEST(!mProcess.mResponse->mIsCurrent);
  endRecovery();
  readAll();
  BOOST_TEST(mProcess.mResponse->mIsCurrent);
}

BOOST_AUTO_TEST_CASE(a_watch_during_a_recovery_ends_with_it)
{
  mCopy = mStore;
  readAll();
  mStore.restore(mCopy);
  mProcess.read(mStore);
  mNow += 3s;
  std::string path;
  mProcess.read(
    [&](const std::string& aPath) {
      path = aPath;
      return mStore.respond(aPath);
    },
    3);
  BOOST_TEST(path.ends_with("&waitMs=1000"));
}

// Guards against an older configuration that a reader publishes because it never read the newer
// one.
BOOST_AUTO_TEST_CASE(a_process_that_first_reads_during_a_recovery_knows_the_version_from_its_peers)
{
  changeAfterCopy();
  mProcess.read(mStore);
  mPeer.pullFrom(mProcess);
  mStore.restore(mCopy);
  mPeer.read(mStore);
  mStore.put("op/config", test::makeConfig(7, "cert"));
  mPeer.read(mStore, 3);
  BOOST_TEST(mPeer.routedService() == "log");
  mNow += 4s;
  mPeer.read(mStore, 3);
  mStore.put("op/config", test::makeConfig(12, "cert"));
  mPeer.read(mStore, 3);
  BOOST_TEST(mPeer.routedService() == "cert");
}

BOOST_AUTO_TEST_CASE(an_older_configuration_stays_out_of_force_after_the_recovery_of_a_new_reader)
{
  changeAfterCopy();
  mStore.put("op/config", test::makeConfig(12, "cert"));
  mProcess.read(mStore);
  mPeer.pullFrom(mProcess);
  mStore.restore(mCopy);
  for (int i = 0; i < 10; ++i) {
    mPeer.read(mStore, 3);
    BOOST_TEST(mPeer.routedService() == "cert");
    mNow += 500ms;
  }
}

// Guards against backends that stay unlisted while the operators have not written again.
BOOST_AUTO_TEST_CASE(a_new_reader_lists_backends_although_it_holds_the_configuration)
{
  changeAfterCopy();
  mProcess.read(mStore);
  mPeer.pullFrom(mProcess);
  mStore.restore(mCopy);
  mPeer.read(mStore);
  mStore.put("servers/y", test::makeBackend("log", "10.0.0.2:80"));
  mPeer.read(mStore, 3);
  BOOST_TEST(mPeer.upstreams() == (Names{ "x serving", "y serving" }));
}

BOOST_AUTO_TEST_CASE(a_reader_that_was_cut_off_keeps_the_version_of_its_peers)
{
  readAll();
  changeAfterCopy();
  mStore.put("op/config", test::makeConfig(12, "cert"));
  mProcess.read(mStore);
  mPeer.pullFrom(mProcess);
  mStore.restore(mCopy);
  mPeer.read(mStore);
  BOOST_TEST(mPeer.routedService() == "cert");
  mStore.put("op/config", test::makeConfig(10, "log"));
  mPeer.read(mStore, 3);
  BOOST_TEST(mPeer.routedService() == "cert");
  mProcess.read(mStore);
  mProcess.pullFrom(mPeer);
  BOOST_TEST(mProcess.routedService() == "cert");
}

// Guards against a configuration that goes back while programs are replaced.
BOOST_AUTO_TEST_CASE(a_new_program_that_reaches_only_an_old_one_keeps_its_configuration)
{
  changeAfterCopy();
  mProcess.mIsOldProgram = true;
  mStore.put("op/config", test::makeConfig(12, "cert"));
  mProcess.read(mStore);
  mPeer.pullFrom(mProcess);
  mStore.restore(mCopy);
  mPeer.read(mStore);
  BOOST_TEST(mPeer.routedService() == "cert");
  mStore.put("op/config", test::makeConfig(12, "cert"));
  mStore.put("op/config", test::makeConfig(14, "log"));
  mPeer.read(mStore, 3);
  BOOST_TEST(mPeer.routedService() == "log");
  mProcess.pullFrom(mPeer);
  BOOST_TEST(mProcess.routedService() == "log");
}

// Guards against a route that a peer keeps although the configuration lacks it: the peer has it
// from a reader that read a configuration in between.
BOOST_AUTO_TEST_CASE(a_route_that_only_a_peer_has_is_removed_by_a_reader_that_lists_the_store)
{
  const auto configWith = [](std::uint64_t aVersion, const std::string& aPrefix) {
    auto config = nlohmann::json::parse(test::makeConfig(aVersion, "log"));
    config["routes"][0]["prefix"] = aPrefix;
    return config.dump();
  };
  mCopy = mStore;
  readAll();
  mStore.restore(mCopy);
  mStore.put("op/config", configWith(7, "/444/"));
  mPeer.read(mStore);
  BOOST_TEST(mPeer.routedService("198.18.0.1:444") == "log");
  mStore.put("op/config", configWith(8, "/445/"));
  mProcess.read(mStore);
  mPeer.pullFrom(mProcess);
  BOOST_TEST(mPeer.routedService("198.18.0.1:444").empty());
  BOOST_TEST(mPeer.routedService("198.18.0.1:445") == "log");
}

// Guards against provisional documents that count as accepted since they arrived during a read.
BOOST_FIXTURE_TEST_CASE(provisional_documents_that_arrive_during_a_read_stay_provisional,
                        LateResponse)
{
  mProcess.finishRead(mRespond);
  BOOST_TEST(mProcess.mIsProvisional);
  BOOST_TEST(mProcess.routedService() == "cert");
}

// Guards against a response that arrives late and, once a process has pulled newer documents, is
// published above them.
BOOST_FIXTURE_TEST_CASE(
  a_late_response_does_not_supersede_provisional_documents_that_came_meanwhile,
  LateResponse)
{
  BOOST_TEST(mProcess.routedService() == "cert");
  mNow += 5s;
  mProcess.finishRead(mRespond);
  BOOST_TEST(mProcess.routedService() == "cert");
  mPeer.pullFrom(mProcess);
  BOOST_TEST(mPeer.routedService() == "cert");
}

BOOST_AUTO_TEST_SUITE_END()
