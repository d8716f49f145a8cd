#include "config/document_store.hpp"
#include "net/main_loop.hpp"
#include "platform/store/items.hpp"
#include "platform/store/store_server.hpp"
#include "platform/store_source.hpp"

#include <boost/test/unit_test.hpp>

using namespace cornelcross;
using namespace std::chrono_literals;

namespace {

const flow::Endpoint kStore = *flow::Endpoint::parse("127.78.0.1:18169");

/// A process that watches the store over HTTP and accepts the documents.
struct Reader
{
  Reader()
    : mSource(platform::storeSource(kStore, { { "a", "b" }, 8172, 1200ms })(
        { [this](const net::ConfigResult& aResult) { onResult(aResult); },
          [this](const std::string& aKey) -> std::optional<config::Document> {
            const auto found = mDocuments.documentsForKeys({ aKey });
            return found.empty() ? std::nullopt : std::optional(found.front());
          },
          [this](const std::string& aPrefix) { return mDocuments.keysWithPrefix(aPrefix); },
          [](const telemetry::Event&) {} }))
  {
  }

  void onResult(const net::ConfigResult& aResult)
  {
    if (const auto* response = std::get_if<net::ConfigResponse>(&aResult)) {
      mDocuments.merge(response->mBatch);
    }
    mIsReading = false;
  }

  /// Reads one time after the other until the address leads to aService; false after aTimeout.
  bool reads(const std::string& aService, base::Duration aTimeout = 5s)
  {
    const base::Time end = net::MainLoop::now() + aTimeout;
    while (net::MainLoop::now() < end) {
      if (mDocuments.configuration()->servesNewFlows(aService, mAddress)) {
        return true;
      }
      mIsReading = true;
      mSource.mRead(mDocuments.revision(), 1, false);
      while (mIsReading) {
        g_main_context_iteration(nullptr, TRUE);
      }
    }
    return false;
  }

  const flow::Endpoint mAddress = *flow::Endpoint::parse("198.18.0.1:443");
  config::DocumentStore mDocuments;
  bool mIsReading = false;
  net::DocumentSource mSource;
};

} // namespace

BOOST_AUTO_TEST_SUITE(store_source)

// Guards against changes that are dropped since the store, after it returned from an older copy,
// issues revisions which it issued before.
BOOST_AUTO_TEST_CASE(a_change_after_a_restore_is_applied_although_its_revision_was_issued_before)
{
  test::StoreServer server(kStore);
  server.mContent.put("servers/x", test::makeBackend("log", "10.0.0.1:80"));
  const test::StoreContent copy = server.mContent;
  server.mContent.put("op/config", test::makeConfig(5, "log"));
  server.mContent.put("op/config", test::makeConfig(7, "cert"));
  server.mContent.put("op/config", test::makeConfig(10, "log"));
  Reader reader;
  BOOST_TEST(reader.reads("log"));
  server.mContent.restore(copy);
  server.mContent.put("op/config", test::makeConfig(10, "log"));
  server.mContent.put("op/config", test::makeConfig(12, "cert"));
  BOOST_TEST(reader.reads("cert"));
}

// Guards against a process that ends or no longer follows the store at a record of another writer,
// among them one of the largest size that the store takes.
BOOST_AUTO_TEST_CASE(a_change_is_applied_beside_records_of_other_writers)
{
  test::StoreServer server(kStore);
  server.mContent.put("servers/x", test::makeBackend("log", "10.0.0.1:80"));
  server.mContent.put("op/config", test::makeConfig(5, "log"));
  server.mContent.put("servers/deep", std::string(1048576, '['));
  server.mContent.put("servers/port", test::makeBackend("log", "10.0.0.2:65536"));
  server.mContent.put("servers/vm", test::makeBackend("log", "10.0.0.1:81"));
  server.mContent.put("servers/", test::makeBackend("log", "10.0.0.3:80"));
  Reader reader;
  BOOST_TEST(reader.reads("log"));
  server.mContent.put("servers/deep", std::string(1048576, '{'));
  server.mContent.put("servers/y", test::makeBackend("log", "10.0.0.4:80"));
  server.mContent.put("op/config", test::makeConfig(7, "cert"));
  BOOST_TEST(reader.reads("cert"));
  const auto& upstreams = reader.mDocuments.configuration()->mServices.at("log").mUpstreams;
  BOOST_REQUIRE(upstreams.size() == 2U);
  BOOST_TEST(upstreams[0].mName == "x");
  BOOST_TEST(upstreams[1].mName == "y");
}

BOOST_AUTO_TEST_SUITE_END()
