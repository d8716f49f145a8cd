#include "net/config_client.hpp"

#include <nlohmann/json.hpp>

namespace cornelcross::net {

namespace {

// Time for the answer itself, beyond the wait at the service.
constexpr base::Duration kChangeTime = std::chrono::seconds(2);
constexpr base::Duration kEverythingTime = std::chrono::seconds(10);

} // namespace

ConfigClient::ConfigClient(flow::Endpoint aService, Listener aListener)
  : mService(aService), mListener(std::move(aListener))
{
}

void ConfigClient::read(std::uint64_t aAfter, unsigned aWaitSeconds)
{
  const std::string uri = "http://" + mService.toString() +
                          "/v1/documents?after=" + std::to_string(aAfter) +
                          "&wait=" + std::to_string(aWaitSeconds);
  const base::Duration grace = aAfter == 0 ? kEverythingTime : kChangeTime;
  mClient.get(uri, std::chrono::seconds(aWaitSeconds) + grace, [this](const HttpResult& aResult) {
    mListener(resultOf(aResult));
  });
}

ConfigResult ConfigClient::resultOf(const HttpResult& aResult)
{
  if (const auto* failure = std::get_if<HttpFailure>(&aResult)) {
    return ConfigFailure{ failure->mReason };
  }
  const auto& reply = std::get<HttpClientResponse>(aResult);
  if (reply.mStatus != SOUP_STATUS_OK) {
    return ConfigFailure{ "status " + std::to_string(reply.mStatus) };
  }
  return parse(reply.mBody);
}

ConfigResult ConfigClient::parse(const std::string& aBody)
{
  const auto body = nlohmann::json::parse(aBody, nullptr, false);
  try {
    ConfigResponse answer;
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
