#include "history/checker.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace cornelcross;
using history::Point;

namespace {

constexpr std::uint64_t kStart = 1'000'000'000;
constexpr std::uint64_t kSecond = 1'000'000;
constexpr std::uint64_t kMillisecond = 1'000;
const std::string kService = "198.51.100.10:80";
const std::string kOther = "198.51.100.11:80";

/// Records of a run in which everything held; tests add what did not.
class Run
{
public:
  Run()
  {
    add(0, "runner", "node", { { "name", "b1" }, { "role", "balancer" }, { "zone", "a" } });
    add(0, "runner", "node", { { "name", "g1" }, { "role", "agent" }, { "zone", "b" } });
    add(0, "runner", "node", { { "name", "u1" }, { "role", "upstream" }, { "zone", "b" } });
    for (const char* name : { "b1", "g1" }) {
      add(0, "runner", "run", { { "name", name }, { "state", "up" } });
      add(100 * kMillisecond, name, "config_applied", { { "revision", "2" } });
    }
    add(0, "u1", "upstream_started", { { "service", kService }, { "cold_ms", "0" } });
    connect("s1", kSecond);
    ask("s1-0", kSecond);
    answer("s1-0", 2 * kSecond);
    end("s1", 2 * kSecond, "done");
    add(60 * kSecond, "runner", "end", {});
  }

  void add(std::uint64_t aAfter,
           const std::string& aProcess,
           const std::string& aEvent,
           std::map<std::string, std::string> aFields)
  {
    mRecords.push_back({ kStart + aAfter, aProcess, aEvent, std::move(aFields) });
  }

  void connect(const std::string& aSession, std::uint64_t aAfter)
  {
    add(aAfter,
        "c",
        "session_connected",
        { { "session", aSession }, { "caller", aSession + ":1" }, { "service", kService } });
    add(aAfter, "u1", "connection_accepted", { { "caller", aSession + ":1" } });
  }

  void ask(const std::string& aRequest, std::uint64_t aAfter)
  {
    add(aAfter, "c", "request_sent", { { "id", aRequest } });
    add(aAfter, "u1", "request_received", { { "id", aRequest } });
    add(aAfter, "u1", "request_started", { { "id", aRequest } });
  }

  void answer(const std::string& aRequest, std::uint64_t aAfter)
  {
    add(aAfter, "u1", "saved", { { "id", aRequest } });
    add(aAfter, "u1", "request_finished", { { "id", aRequest }, { "digest", "d" } });
    add(aAfter,
        "c",
        "answer_received",
        { { "id", aRequest }, { "answer_id", aRequest }, { "status", "ok" }, { "digest", "d" } });
  }

  void end(const std::string& aSession, std::uint64_t aAfter, const std::string& aOutcome)
  {
    add(aAfter, "c", "session_ended", { { "session", aSession }, { "outcome", aOutcome } });
  }

  /// Points that the checker finds broken.
  std::set<Point> broken() const
  {
    std::set<Point> points;
    for (const auto& violation : history::check(history::History(mRecords))) {
      points.insert(violation.mPoint);
    }
    return points;
  }

private:
  std::vector<history::Record> mRecords;
};

using Points = std::set<Point>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(history_checker, Run)

BOOST_AUTO_TEST_CASE(finds_nothing_in_a_run_in_which_everything_held)
{
  BOOST_TEST((broken() == Points{}));
}

BOOST_AUTO_TEST_CASE(finds_a_broken_flow_and_its_missing_answer)
{
  connect("s2", 3 * kSecond);
  ask("s2-0", 3 * kSecond);
  end("s2", 4 * kSecond, "reset");
  BOOST_TEST((broken() == Points{ Point::kEstablishedFlow, Point::kWholeAnswer }));
}

BOOST_AUTO_TEST_CASE(excuses_a_flow_only_when_its_own_zone_was_taken_out)
{
  connect("s2", 3 * kSecond);
  end("s2", 5 * kSecond, "deadline");
  add(4 * kSecond, "runner", "zone", { { "name", "a" }, { "state", "out" } });
  BOOST_TEST((broken() == Points{ Point::kEstablishedFlow }));
  add(4 * kSecond, "runner", "zone", { { "name", "b" }, { "state", "out" } });
  BOOST_TEST((broken() == Points{}));
}

BOOST_AUTO_TEST_CASE(finds_a_request_that_a_planned_stop_cut)
{
  connect("s2", 3 * kSecond);
  ask("s2-0", 3 * kSecond);
  add(4 * kSecond, "runner", "planned_stop", { { "name", "b1" } });
  end("s2", 5 * kSecond, "closed_early");
  BOOST_TEST(broken().count(Point::kGracefulStop) == 1U);
}

BOOST_AUTO_TEST_CASE(finds_an_altered_and_a_foreign_answer)
{
  const std::map<std::string, std::string> altered{
    { "id", "s1-0" }, { "answer_id", "s1-0" }, { "status", "ok" }, { "digest", "x" }
  };
  add(3 * kSecond, "c", "answer_received", altered);
  BOOST_TEST((broken() == Points{ Point::kWholeAnswer }));
  Run foreign;
  foreign.add(3 * kSecond,
              "c",
              "answer_received",
              { { "id", "s1-0" }, { "answer_id", "s9-0" }, { "status", "ok" }, { "digest", "d" } });
  BOOST_TEST((foreign.broken() == Points{ Point::kWholeAnswer }));
}

BOOST_AUTO_TEST_CASE(finds_a_refusal_of_something_that_ran)
{
  ask("s2-0", 3 * kSecond);
  end("s2", 4 * kSecond, "refused");
  BOOST_TEST((broken() == Points{ Point::kTrueRefusal }));
}

BOOST_AUTO_TEST_CASE(finds_a_result_that_was_saved_again_at_another_upstream)
{
  add(3 * kSecond, "u2", "saved", { { "id", "s1-0" } });
  BOOST_TEST((broken() == Points{ Point::kSavedOnce }));
}

BOOST_AUTO_TEST_CASE(finds_a_foreign_packet_and_a_request_at_a_foreign_service)
{
  add(3 * kSecond, "u1", "foreign_packet", { { "service", kOther } });
  BOOST_TEST((broken() == Points{ Point::kServiceIsolation }));
  Run elsewhere;
  elsewhere.add(0, "u2", "upstream_started", { { "service", kOther } });
  elsewhere.add(3 * kSecond, "u2", "request_started", { { "id", "s1-1" } });
  BOOST_TEST((elsewhere.broken() == Points{ Point::kServiceIsolation }));
}

BOOST_AUTO_TEST_CASE(finds_a_packet_to_a_zone_that_is_out_only_after_the_bound)
{
  add(10 * kSecond, "runner", "zone", { { "name", "b" }, { "state", "out" } });
  add(15 * kSecond, "fabric", "forwarded", { { "from", "b1" }, { "to", "g1" } });
  BOOST_TEST((broken() == Points{}));
  add(15 * kSecond + 1, "fabric", "forwarded", { { "from", "b1" }, { "to", "g1" } });
  BOOST_TEST((broken() == Points{ Point::kZoneOut }));
}

BOOST_AUTO_TEST_CASE(finds_a_new_flow_at_a_leaving_upstream_until_it_serves_again)
{
  add(10 * kSecond, "runner", "upstream", { { "name", "u1" }, { "state", "leaving" } });
  add(30 * kSecond, "runner", "upstream", { { "name", "u1" }, { "state", "serving" } });
  add(31 * kSecond, "u1", "connection_accepted", { { "caller", "x:1" } });
  BOOST_TEST((broken() == Points{}));
  add(20 * kSecond, "u1", "connection_accepted", { { "caller", "y:1" } });
  BOOST_TEST((broken() == Points{ Point::kLeaving }));
}

BOOST_AUTO_TEST_CASE(finds_a_moment_at_which_a_cold_upstream_had_more_than_it_bears)
{
  add(10 * kSecond,
      "u1",
      "upstream_started",
      { { "service", kService }, { "cold_ms", "5000" }, { "cold_slots", "1" } });
  add(11 * kSecond, "u1", "request_received", { { "id", "s3-0" } });
  add(12 * kSecond, "u1", "request_finished", { { "id", "s3-0" } });
  add(13 * kSecond, "u1", "request_received", { { "id", "s4-0" } });
  BOOST_TEST((broken() == Points{}));
  add(14 * kSecond, "u1", "request_received", { { "id", "s5-0" } });
  BOOST_TEST((broken() == Points{ Point::kColdLoad }));
}

BOOST_AUTO_TEST_CASE(finds_a_revision_that_goes_back)
{
  add(20 * kSecond, "b1", "config_applied", { { "revision", "1" } });
  BOOST_TEST((broken() == Points{ Point::kConfiguration }));
}

BOOST_AUTO_TEST_CASE(finds_a_process_that_starts_with_what_was_out_of_force_everywhere)
{
  add(10 * kSecond, "b1", "config_applied", { { "revision", "4" } });
  add(11 * kSecond, "g1", "config_applied", { { "revision", "4" } });
  add(20 * kSecond, "b1", "process_started", {});
  add(21 * kSecond, "b1", "config_applied", { { "revision", "3" } });
  add(22 * kSecond, "b1", "config_applied", { { "revision", "4" } });
  BOOST_TEST((broken() == Points{ Point::kConfiguration }));
}

BOOST_AUTO_TEST_CASE(counts_a_change_of_operators_from_its_acceptance)
{
  const std::map<std::string, std::string> change{ { "name", "b" },
                                                   { "state", "out" },
                                                   { "revision", "3" } };
  add(10 * kSecond, "runner", "zone", change);
  add(30 * kSecond, "fabric", "forwarded", { { "from", "b1" }, { "to", "g1" } });
  BOOST_TEST((broken() == Points{}));
  add(24 * kSecond, "b1", "config_applied", { { "revision", "3" } });
  add(24 * kSecond, "g1", "config_applied", { { "revision", "3" } });
  BOOST_TEST((broken() == Points{ Point::kZoneOut }));
}

BOOST_AUTO_TEST_CASE(knows_the_upstream_of_a_flow_from_its_agent_when_the_handshake_did_not_end)
{
  add(3 * kSecond,
      "c",
      "session_connected",
      { { "session", "s2" }, { "caller", "s2:1" }, { "service", kService } });
  end("s2", 5 * kSecond, "reset");
  add(4 * kSecond, "runner", "zone", { { "name", "b" }, { "state", "out" } });
  BOOST_TEST((broken() == Points{ Point::kEstablishedFlow }));
  add(3 * kSecond, "g1", "flow_opened", { { "flow", "s2:1>" + kService }, { "upstream", "u1" } });
  BOOST_TEST((broken() == Points{}));
}

BOOST_AUTO_TEST_CASE(finds_a_process_that_lags_behind_an_accepted_revision)
{
  add(10 * kSecond, "b1", "config_applied", { { "revision", "3" } });
  add(15 * kSecond, "g1", "config_applied", { { "revision", "3" } });
  BOOST_TEST((broken() == Points{}));
  add(20 * kSecond, "b1", "config_applied", { { "revision", "4" } });
  BOOST_TEST((broken() == Points{ Point::kConfiguration }));
}

BOOST_AUTO_TEST_CASE(gives_a_process_that_was_frozen_the_bound_from_its_thaw)
{
  add(9 * kSecond, "runner", "run", { { "name", "g1" }, { "state", "frozen" } });
  add(10 * kSecond, "b1", "config_applied", { { "revision", "3" } });
  add(20 * kSecond, "runner", "run", { { "name", "g1" }, { "state", "up" } });
  add(24 * kSecond, "g1", "config_applied", { { "revision", "3" } });
  BOOST_TEST((broken() == Points{}));
}

BOOST_AUTO_TEST_CASE(finds_any_number_of_doubled_results_among_any_number_of_sound_sessions)
{
  const bool holds = rc::check([] {
    Run run;
    const auto sessions = *rc::gen::inRange(1, 40);
    const auto doubled = *rc::gen::inRange(0, sessions + 1);
    for (int i = 0; i < sessions; ++i) {
      const std::string session = "r" + std::to_string(i);
      const auto at = *rc::gen::inRange<std::uint64_t>(3 * kSecond, 50 * kSecond);
      run.connect(session, at);
      run.ask(session + "-0", at);
      run.answer(session + "-0", at + kMillisecond);
      run.end(session, at + 2 * kMillisecond, "done");
      if (i < doubled) {
        run.add(at + kSecond, "u2", "saved", { { "id", session + "-0" } });
      }
    }
    RC_ASSERT(run.broken() == (doubled > 0 ? Points{ Point::kSavedOnce } : Points{}));
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
