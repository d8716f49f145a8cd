#include "tools/timeline/clock_offset.hpp"
#include "tools/timeline/filter.hpp"
#include "tools/timeline/svg_view.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross::tools::timeline;

namespace {

/// Parses an event at aTimeUs from the other fields of the log line.
LogEvent makeEvent(std::int64_t aTimeUs, const std::string& aOtherFields)
{
  return LogEvent::parse("time_us=" + std::to_string(aTimeUs) + " " + aOtherFields).value();
}

ClockOffsets estimate(const std::vector<LogEvent>& aEvents,
                      const std::map<std::string, std::int64_t>& aUserOffsetsUs = {})
{
  return estimateOffsets(aEvents, findCausalPairs(aEvents), aUserOffsetsUs);
}

/// Events of three requests that take 100 us in each direction and 50 us at the upstream "up". The
/// clock of "up" is ahead by aAheadUs.
std::vector<LogEvent> exchangeEvents(std::int64_t aAheadUs)
{
  std::vector<LogEvent> events;
  for (std::int64_t i = 0; i < 3; ++i) {
    const std::int64_t startUs = 1000000 + i * 1000;
    const std::string id = "id=" + std::to_string(i);
    events.push_back(makeEvent(startUs, "process=caller event=request_sent " + id));
    events.push_back(makeEvent(startUs + 100 + aAheadUs, "process=up event=request_started " + id));
    events.push_back(
      makeEvent(startUs + 150 + aAheadUs, "process=up event=request_finished " + id));
    events.push_back(makeEvent(startUs + 250, "process=caller event=answer_received " + id));
  }
  return events;
}

} // namespace

BOOST_AUTO_TEST_SUITE(timeline)

BOOST_AUTO_TEST_CASE(parses_quoted_values_and_rejects_lines_that_are_not_events)
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

BOOST_AUTO_TEST_CASE(does_not_correct_clocks_that_contradict_no_causal_pair)
{
  const auto offsets = estimate(exchangeEvents(90));
  BOOST_TEST(offsets.mByProcess.at("up").mOffsetUs == 0);
  BOOST_TEST(offsets.mByProcess.at("caller").mOffsetUs == 0);
}

BOOST_AUTO_TEST_CASE(puts_effects_after_their_causes_when_a_clock_is_ahead_or_behind)
{
  for (const std::int64_t aheadUs : { 700000, -700000 }) {
    const auto events = exchangeEvents(aheadUs);
    const auto offsets = estimate(events);
    const auto differenceUs =
      offsets.mByProcess.at("up").mOffsetUs - offsets.mByProcess.at("caller").mOffsetUs;
    BOOST_TEST(differenceUs == aheadUs);
    const auto ordered = correctTimes(events, offsets);
    BOOST_TEST(ordered[0].mKind == "request_sent");
    BOOST_TEST(ordered[1].mKind == "request_started");
    BOOST_TEST(ordered[3].mKind == "answer_received");
  }
}

BOOST_AUTO_TEST_CASE(uses_user_supplied_offsets)
{
  const auto offsets = estimate(exchangeEvents(700000), { { "up", 700010 } });
  BOOST_TEST(offsets.mByProcess.at("up").mOffsetUs == 700010);
  BOOST_TEST(offsets.mByProcess.at("caller").mOffsetUs == 0);
}

BOOST_AUTO_TEST_CASE(reports_the_slack_of_a_clock_that_was_stepped)
{
  auto events = exchangeEvents(0);
  auto eventsAfterStep = exchangeEvents(5000);
  for (auto& late : eventsAfterStep) {
    late.mFields[0].second += "-late";
  }
  events.insert(events.end(), eventsAfterStep.begin(), eventsAfterStep.end());
  BOOST_TEST(estimate(events).mSlackUs > 0);
  BOOST_TEST(estimate(exchangeEvents(5000)).mSlackUs == 0);
}

BOOST_AUTO_TEST_CASE(orders_the_publication_of_a_revision_before_its_application)
{
  const std::vector events = { makeEvent(900, "process=agent event=config_applied revision=4"),
                               makeEvent(1000,
                                         "process=config event=published revision=4 key=zones") };
  const auto ordered = correctTimes(events, estimate(events));
  BOOST_TEST(ordered[0].mKind == "published");
}

BOOST_AUTO_TEST_CASE(orders_the_application_at_a_peer_before_that_at_the_pulling_process)
{
  const std::vector events = {
    makeEvent(100, "process=b event=process_started listen=127.0.0.2:1 advertise=127.0.0.2:1"),
    makeEvent(900, "process=a event=config_applied revision=4 source=127.0.0.2:1"),
    makeEvent(1000, "process=b event=config_applied revision=4 source=service"),
  };
  const auto ordered = correctTimes(events, estimate(events));
  BOOST_TEST(ordered[1].mProcess == "b");
  BOOST_TEST(ordered[2].mProcess == "a");
}

BOOST_AUTO_TEST_CASE(filters_by_flow_upstream_zone_kind_process_and_time)
{
  const std::vector events = {
    makeEvent(1, "process=agent-1 event=upstream_assigned upstream=u1 zone=a"),
    makeEvent(2, "process=agent-1 event=flow_opened flow=10.0.0.1:5>198.51.100.1:80"),
    makeEvent(3, "process=u1 event=connection_accepted caller=10.0.0.1:5 service=198.51.100.1:80"),
    makeEvent(4, "process=agent-2 event=upstream_assigned upstream=u2 zone=b"),
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
  filter.mToUs = 1;
  BOOST_TEST(count(filter) == 0U);
  BOOST_TEST(count({ {}, { "u2" }, {}, {}, {}, {}, {} }) == 1U);
  BOOST_TEST(count({ {}, {}, {}, {}, { "u1" }, {}, {} }) == 1U);
}

BOOST_AUTO_TEST_CASE(draws_a_lane_for_each_process_and_escapes_text)
{
  const std::string svg =
    toSvg({ makeEvent(1, "process=a<b event=e"), makeEvent(2, "process=c event=e") });
  BOOST_TEST(svg.find("a&lt;b") != std::string::npos);
  BOOST_TEST(svg.find("a<b") == std::string::npos);
  BOOST_TEST(svg.find("<circle") != std::string::npos);
  BOOST_TEST(toSvg({}).find("</svg>") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
