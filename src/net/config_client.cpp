#include "net/config_client.hpp"

#include "config/nesting.hpp"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace cornelcross::net {

namespace {

// Time allowed for a response beyond the time that the service waits for a change.
constexpr base::Duration kChangesResponseTime = std::chrono::seconds(2);
constexpr base::Duration kSnapshotResponseTime = std::chrono::seconds(10);

using Json = nlohmann::json;

/// True if a value has more than kMaxNesting arrays and objects within each other. Iterative, since
/// the value may be nested deeply enough for a recursion to overflow the stack.
bool isTooDeep(const Json& aValue)
{
  std::vector<std::pair<const Json*, std::size_t>> open{ { &aValue, 1 } };
  while (!open.empty()) {
    const auto [value, depth] = open.back();
    open.pop_back();
    if (!value->is_structured()) {
      continue;
    }
    if (depth > config::kMaxNesting) {
      return true;
    }
    for (const Json& element : *value) {
      open.emplace_back(&element, depth + 1);
    }
  }
  return false;
}

/// Text of a document. A value that is nested too deeply to be formatted becomes text that the
/// reader of documents rejects for the same reason, so that the other documents are used.
std::string textOf(const Json& aValue)
{
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  return isTooDeep(aValue) ? std::string(config::kMaxNesting + 1, '[') : aValue.dump();
}

} // namespace

ConfigClient::ConfigClient(flow::Endpoint aService, Listener aListener)
  : mService(aService), mListener(std::move(aListener))
{
}

void ConfigClient::read(std::uint64_t aAfterRevision, unsigned aWaitSeconds)
{
  const std::string uri = "http://" + mService.toString() +
                          "/v1/documents?after=" + std::to_string(aAfterRevision) +
                          "&wait=" + std::to_string(aWaitSeconds);
  const base::Duration responseTime =
    aAfterRevision == 0 ? kSnapshotResponseTime : kChangesResponseTime;
  mClient.get(uri,
              std::chrono::seconds(aWaitSeconds) + responseTime,
              [this](const HttpResult& aResult) { mListener(resultOf(aResult)); });
}

ConfigResult ConfigClient::resultOf(const HttpResult& aResult)
{
  if (const auto* failure = std::get_if<HttpFailure>(&aResult)) {
    return ConfigFailure{ failure->mReason };
  }
  const auto& httpResponse = std::get<HttpClientResponse>(aResult);
  if (httpResponse.mStatus != SOUP_STATUS_OK) {
    return ConfigFailure{ "status " + std::to_string(httpResponse.mStatus) };
  }
  return parse(httpResponse.mBody);
}

ConfigResult ConfigClient::parse(const std::string& aBody)
{
  const auto body = nlohmann::json::parse(aBody, nullptr, false);
  try {
    ConfigResponse response;
    response.mBodyBytes = aBody.size();
    response.mBatch.mRevision = body.at("revision").get<std::uint64_t>();
    for (const auto& item : body.at("documents")) {
      const auto& value = item.at("value");
      config::Document document;
      document.mKey = item.at("key").get<std::string>();
      document.mRevision = item.at("revision").get<std::uint64_t>();
      if (!value.is_null()) {
        document.mText = textOf(value);
      }
      response.mBatch.mDocuments.push_back(std::move(document));
    }
    return response;
  } catch (const nlohmann::json::exception& error) {
    return ConfigFailure{ std::string("malformed response: ") + error.what() };
  }
}

} // namespace cornelcross::net
