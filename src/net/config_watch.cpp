#include "net/config_watch.hpp"

#include <nlohmann/json.hpp>

namespace cornelcross::net {

namespace {

constexpr unsigned kWaitSeconds = 10;    // long poll at the service
constexpr unsigned kTimeoutSeconds = 15; // deadline of one request
constexpr unsigned kMinRetryMilliseconds = 250;
constexpr unsigned kMaxRetryMilliseconds = 750;

} // namespace

ConfigWatch::ConfigWatch(flow::Endpoint aService,
                         std::function<std::uint64_t()> aRevision,
                         Listener aListener)
  : mService(aService)
  , mRevision(std::move(aRevision))
  , mListener(std::move(aListener))
  , mSession(soup_session_new_with_options("timeout", kTimeoutSeconds, nullptr))
  , mCancellable(g_cancellable_new())
{
}

ConfigWatch::~ConfigWatch()
{
  if (mTimer != 0) {
    g_source_remove(mTimer);
  }
  g_cancellable_cancel(mCancellable);
  g_clear_object(&mMessage);
  g_object_unref(mSession);
  g_object_unref(mCancellable);
}

void ConfigWatch::start()
{
  request();
}

void ConfigWatch::request()
{
  const std::string uri = "http://" + mService.toString() +
                          "/v1/documents?after=" + std::to_string(mRevision()) +
                          "&wait=" + std::to_string(kWaitSeconds);
  ++mCalls;
  g_clear_object(&mMessage);
  mMessage = soup_message_new(SOUP_METHOD_GET, uri.c_str());
  soup_session_send_and_read_async(
    mSession, mMessage, G_PRIORITY_DEFAULT, mCancellable, &ConfigWatch::onResponse, this);
}

void ConfigWatch::onResponse(GObject* aSession, GAsyncResult* aResult, gpointer aSelf)
{
  GError* error = nullptr;
  GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(aSession), aResult, &error);
  const bool cancelled = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED) == TRUE;
  if (cancelled) {
    g_error_free(error);
    return;
  }
  auto* self = static_cast<ConfigWatch*>(aSelf);
  std::variant<DocumentBatch, WatchFailure> answer;
  if (error != nullptr) {
    answer = WatchFailure{ error->message };
    g_error_free(error);
  } else if (soup_message_get_status(self->mMessage) != SOUP_STATUS_OK) {
    answer = WatchFailure{ "status " + std::to_string(soup_message_get_status(self->mMessage)) };
  } else {
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    answer = parse(std::string(data, size));
  }
  if (bytes != nullptr) {
    g_bytes_unref(bytes);
  }
  self->mListener(answer);
  const bool failed = std::holds_alternative<WatchFailure>(answer);
  const guint delay =
    failed ? static_cast<guint>(g_random_int_range(kMinRetryMilliseconds, kMaxRetryMilliseconds))
           : 1;
  self->mTimer = g_timeout_add(delay, &ConfigWatch::onTimer, self);
}

gboolean ConfigWatch::onTimer(gpointer aSelf)
{
  auto* self = static_cast<ConfigWatch*>(aSelf);
  self->mTimer = 0;
  self->request();
  return G_SOURCE_REMOVE;
}

std::variant<DocumentBatch, WatchFailure> ConfigWatch::parse(const std::string& aBody)
{
  const auto body = nlohmann::json::parse(aBody, nullptr, false);
  try {
    DocumentBatch batch;
    batch.mRevision = body.at("revision").get<std::uint64_t>();
    for (const auto& item : body.at("documents")) {
      const auto& value = item.at("value");
      config::Document document;
      document.mKey = item.at("key").get<std::string>();
      document.mRevision = item.at("revision").get<std::uint64_t>();
      if (!value.is_null()) {
        document.mText = value.is_string() ? value.get<std::string>() : value.dump();
      }
      batch.mDocuments.push_back(std::move(document));
    }
    return batch;
  } catch (const nlohmann::json::exception& error) {
    return WatchFailure{ std::string("malformed answer: ") + error.what() };
  }
}

} // namespace cornelcross::net
