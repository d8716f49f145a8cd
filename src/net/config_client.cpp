#include "net/config_client.hpp"

#include <nlohmann/json.hpp>

namespace cornelcross::net {

namespace {

// Time for the answer itself, beyond the wait at the service.
constexpr unsigned kChangeSeconds = 2;
constexpr unsigned kEverythingSeconds = 10;

} // namespace

struct ConfigClient::Call
{
  Call() = default;
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  ~Call()
  {
    if (mTimer != 0) {
      g_source_remove(mTimer);
    }
    g_clear_object(&mMessage);
    g_object_unref(mCancellable);
  }

  ConfigClient* mOwner = nullptr; ///< empty once the call was given up
  SoupMessage* mMessage = nullptr;
  GCancellable* mCancellable = g_cancellable_new();
  guint mTimer = 0;
};

ConfigClient::ConfigClient(flow::Endpoint aService, Listener aListener)
  : mService(aService), mListener(std::move(aListener)), mSession(soup_session_new())
{
}

ConfigClient::~ConfigClient()
{
  giveUp();
  g_object_unref(mSession);
}

void ConfigClient::giveUp()
{
  if (mCall) {
    mCall->mOwner = nullptr;
    g_cancellable_cancel(mCall->mCancellable);
    mCall.reset();
  }
}

void ConfigClient::read(std::uint64_t aAfter, unsigned aWaitSeconds)
{
  giveUp();
  const std::string uri = "http://" + mService.toString() +
                          "/v1/documents?after=" + std::to_string(aAfter) +
                          "&wait=" + std::to_string(aWaitSeconds);
  ++mCalls;
  mCall = std::make_shared<Call>();
  mCall->mOwner = this;
  mCall->mMessage = soup_message_new(SOUP_METHOD_GET, uri.c_str());
  const unsigned grace = aAfter == 0 ? kEverythingSeconds : kChangeSeconds;
  mCall->mTimer =
    g_timeout_add_seconds(aWaitSeconds + grace, &ConfigClient::onDeadline, mCall.get());
  soup_session_send_and_read_async(mSession,
                                   mCall->mMessage,
                                   G_PRIORITY_DEFAULT,
                                   mCall->mCancellable,
                                   &ConfigClient::onResponse,
                                   new std::shared_ptr<Call>(mCall));
}

gboolean ConfigClient::onDeadline(gpointer aCall)
{
  auto* call = static_cast<Call*>(aCall);
  call->mTimer = 0;
  g_cancellable_cancel(call->mCancellable);
  return G_SOURCE_REMOVE;
}

void ConfigClient::onResponse(GObject* aSession, GAsyncResult* aResult, gpointer aCall)
{
  const std::unique_ptr<std::shared_ptr<Call>> owned(static_cast<std::shared_ptr<Call>*>(aCall));
  const std::shared_ptr<Call> call = *owned;
  GError* error = nullptr;
  GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(aSession), aResult, &error);
  ConfigClient* owner = call->mOwner;
  if (owner != nullptr) {
    const ConfigResult result = resultOf(call->mMessage, bytes, error);
    owner->mCall.reset();
    if (std::holds_alternative<ConfigFailure>(result)) {
      soup_session_abort(owner->mSession); // the next call takes a new connection
    }
    owner->mListener(result);
  }
  g_clear_error(&error);
  if (bytes != nullptr) {
    g_bytes_unref(bytes);
  }
}

ConfigResult ConfigClient::resultOf(SoupMessage* aMessage, GBytes* aBytes, const GError* aError)
{
  if (aError != nullptr) {
    const bool isLate = g_error_matches(aError, G_IO_ERROR, G_IO_ERROR_CANCELLED) == TRUE;
    return ConfigFailure{ isLate ? "deadline exceeded" : aError->message };
  }
  if (soup_message_get_status(aMessage) != SOUP_STATUS_OK) {
    return ConfigFailure{ "status " + std::to_string(soup_message_get_status(aMessage)) };
  }
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(aBytes, &size));
  return parse(std::string(data, size));
}

ConfigResult ConfigClient::parse(const std::string& aBody)
{
  const auto body = nlohmann::json::parse(aBody, nullptr, false);
  try {
    ConfigAnswer answer;
    answer.mBytes = aBody.size();
    answer.mBatch.mRevision = body.at("revision").get<std::uint64_t>();
    for (const auto& item : body.at("documents")) {
      const auto& value = item.at("value");
      config::Document document;
      document.mKey = item.at("key").get<std::string>();
      document.mRevision = item.at("revision").get<std::uint64_t>();
      if (!value.is_null()) {
        document.mText = value.is_string() ? value.get<std::string>() : value.dump();
      }
      answer.mBatch.mDocuments.push_back(std::move(document));
    }
    return answer;
  } catch (const nlohmann::json::exception& error) {
    return ConfigFailure{ std::string("malformed answer: ") + error.what() };
  }
}

} // namespace cornelcross::net
