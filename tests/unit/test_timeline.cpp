#include "tools/timeline/clock_offset.hpp"
#include "tools/timeline/filter.hpp"
#include "tools/timeline/svg_view.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross::tools::timeline;

namespace {

LogEvent event(std::int64_t aTime, const std::string& aRest)
{
  return LogEvent::parse("time_us=" + std::to_string(aTime) + " " + aRest).value();
}

ClockOffsets estimate(const std::vector<LogEvent>& aEvents,
                      const std::map<std::string, std::int64_t>& aGiven = {})
{
  return estimateOffsets(aEvents, findCausalPairs(aEvents), aGiven);
}

/// Requests that take 100 us each way and 50 us at the upstream, whose clock is aAhead us ahead.
std::vector<LogEvent> exchange(std::int64_t aAhead)
{
  std::vector<LogEvent> events;
  for (std::int64_t i = 0; i < 3; ++i) {
    const std::int64_t start = 1000000 + i * 1000;
    const std::string id = "id=" + std::to_string(i);
    events.push_back(event(start, "process=caller event=request_sent " + id));
    events.push_back(event(start + 100 + aAhead, "process=up event=request_started " + id));
    events.push_back(event(start + 150 + aAhead, "process=up event=request_finished " + id));
    events.push_back(event(start + 250, "process=caller event=answer_received " + id));
  }
  return events;
}

} // namespace

BOOST_AUTO_TEST_SUITE(timeline)

BOOST_AUTO_TEST_CASE(parses_quoted_values_and_rejects_what_is_no_event)
{
  const auto parsed = LogEvent::parse(R"(time_us=5 process=a event=e x="b \"c\"=d" y=)");
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(*parsed->field("x") == "b \"c\"=d");
  BOOST_TEST(parsed->field("y")->empty());
  for (const char* line : { "",
                            "text",
                            "time_us=5 process=a",
                            "time_us=x process=a event=e",
                            R"(time_us=5 process=a event=e x="open)",
                            "time_us=5 event=e =" }) {
    BOOST_TEST(!LogEvent::parse(line).has_value(), line);
  }
}

BOOST_AUTO_TEST_CASE(leaves_clocks_alone_that_contradict_no_pair)
{
  const auto offsets = estimate(exchange(90));
  BOOST_TEST(offsets.mByProcess.at("up").mOffset == 0);
  BOOST_TEST(offsets.mByProcess.at("caller").mOffset == 0);
}

BOOST_AUTO_TEST_CASE(puts_effects_after_their_causes_when_a_clock_is_ahead_or_behind)
{
  for (const std::int64_t ahead : { 700000, -700000 }) {
    const auto events = exchange(ahead);
    const auto offsets = estimate(events);
    const auto difference =
      offsets.mByProcess.at("up").mOffset - offsets.mByProcess.at("caller").mOffset;
    BOOST_TEST(difference == ahead);
    const auto ordered = correctTimes(events, offsets);
    BOOST_TEST(ordered[0].mKind == "request_sent");
    BOOST_TEST(ordered[1].mKind == "request_started");
    BOOST_TEST(ordered[3].mKind == "answer_received");
  }
}

BOOST_AUTO_TEST_CASE(uses_offsets_given_by_hand)
{
  const auto offsets = estimate(exchange(700000), { { "up", 700010 } });
  BOOST_TEST(offsets.mByProcess.at("up").mOffset == 700010);
  BOOST_TEST(offsets.mByProcess.at("caller").mOffset == 0);
}

BOOST_AUTO_TEST_CASE(reports_the_slack_of_a_clock_that_was_stepped)
{
  auto events = exchange(0);
  auto stepped = exchange(5000);
  for (auto& late : stepped) {
    late.mFields[0].second += "-late";
  }
  events.insert(events.end(), stepped.begin(), stepped.end());
  BOOST_TEST(estimate(events).mSlack > 0);
  BOOST_TEST(estimate(exchange(5000)).mSlack == 0);
}

BOOST_AUTO_TEST_CASE(orders_a_publication_before_each_application)
{
  const std::vector events = { event(900, "process=agent event=config_applied revision=4"),
                               event(1000, "process=config event=published revision=4 key=zones") };
  const auto ordered = correctTimes(events, estimate(events));
  BOOST_TEST(ordered[0].mKind == "published");
}

BOOST_AUTO_TEST_CASE(orders_the_application_at_a_peer_before_that_of_who_pulled_it)
{
  const std::vector events = {
    event(100, "process=b event=process_started listen=127.0.0.2:1 advertise=127.0.0.2:1"),
    event(900, "process=a event=config_applied revision=4 source=127.0.0.2:1"),
    event(1000, "process=b event=config_applied revision=4 source=service"),
  };
  const auto ordered = correctTimes(events, estimate(events));
  BOOST_TEST(ordered[1].mProcess == "b");
  BOOST_TEST(ordered[2].mProcess == "a");
}

BOOST_AUTO_TEST_CASE(filters_by_flow_upstream_zone_kind_process_and_time)
{
  const std::vector events = {
    event(1, "process=agent-1 event=upstream_assigned upstream=u1 zone=a"),
    event(2, "process=agent-1 event=flow_opened flow=10.0.0.1:5>198.51.100.1:80"),
    event(3, "process=u1 event=connection_accepted caller=10.0.0.1:5 service=198.51.100.1:80"),
    event(4, "process=agent-2 event=upstream_assigned upstream=u2 zone=b"),
  };
  const auto count = [&](const Filter& aFilter) { return applyFilter(events, aFilter).size(); };
  Filter filter;
  BOOST_TEST(count(filter) == 4U);
  filter.mZones = { "a" };
  BOOST_TEST(count(filter) == 3U);
  filter.mFlows = { "10.0.0.1:5" };
  BOOST_TEST(count(filter) == 2U);
  filter.mKinds = { "flow_opened" };
  BOOST_TEST(count(filter) == 1U);
  filter.mTo = 1;
  BOOST_TEST(count(filter) == 0U);
  BOOST_TEST(count({ {}, { "u2" }, {}, {}, {}, {}, {} }) == 1U);
  BOOST_TEST(count({ {}, {}, {}, {}, { "u1" }, {}, {} }) == 1U);
}

BOOST_AUTO_TEST_CASE(draws_a_lane_for_each_process_and_escapes_text)
{
  const std::string svg = toSvg({ event(1, "process=a<b event=e"), event(2, "process=c event=e") });
  BOOST_TEST(svg.find("a&lt;b") != std::string::npos);
  BOOST_TEST(svg.find("a<b") == std::string::npos);
  BOOST_TEST(svg.find("<circle") != std::string::npos);
  BOOST_TEST(toSvg({}).find("</svg>") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
