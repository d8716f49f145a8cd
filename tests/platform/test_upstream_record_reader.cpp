#include "config/revision.hpp"
#include "platform/store/store_content.hpp"
#include "platform/upstream_record_reader.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;

namespace {

constexpr const char* kRecord =
  R"({"service":"live","address":"10.0.0.1:8165","zone":"a","version":"v1","capacity":4,"state":"ready","warmupLeftMs":0,"sequence":2,"born":7})";

struct Fixture
{
  std::optional<config::UpstreamRecord> read()
  {
    return platform::decodeUpstreamRecord("i-1",
                                          mStore.respond(platform::upstreamRecordPath("i-1")));
  }

  test::StoreContent mStore;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(upstream_record_reader, Fixture)

BOOST_AUTO_TEST_CASE(reads_the_start_and_the_last_write_of_a_record)
{
  const auto written = mStore.put("servers/i-1", kRecord);
  mStore.put("servers/i-10", kRecord);
  BOOST_TEST((read() == config::UpstreamRecord{ 7, written, mStore.revision() }));
}

BOOST_AUTO_TEST_CASE(a_record_that_is_missing_or_cannot_be_read_has_no_start)
{
  mStore.put("servers/i-10", kRecord);
  BOOST_TEST((read() == config::UpstreamRecord{ 0, 0, mStore.revision() }));
  const auto written = mStore.put("servers/i-1", "{");
  BOOST_TEST((read() == config::UpstreamRecord{ 0, written, mStore.revision() }));
}

// Guards against a proof by the revision of a restored store, which issues revisions again.
BOOST_AUTO_TEST_CASE(the_revisions_of_a_restored_store_have_another_epoch)
{
  const test::StoreContent copy = mStore;
  const auto before = read();
  mStore.restore(copy);
  const auto written = mStore.put("servers/i-1", kRecord);
  BOOST_TEST((read()->mRevision == config::makeRevision(2, written)));
  BOOST_TEST(config::epochOf(before->mServiceRevision) == 0U);
}

BOOST_AUTO_TEST_CASE(a_response_with_an_error_has_no_record)
{
  auto response = mStore.respond(platform::upstreamRecordPath("i-1"));
  mStore.mEraHeader = "one";
  BOOST_TEST(!read().has_value());
  response.mStatus = SOUP_STATUS_SERVICE_UNAVAILABLE;
  BOOST_TEST(!platform::decodeUpstreamRecord("i-1", response).has_value());
  response.mStatus = SOUP_STATUS_OK;
  response.mBody = "{}";
  BOOST_TEST(!platform::decodeUpstreamRecord("i-1", response).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
