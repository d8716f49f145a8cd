#include "platform/store/store_content.hpp"

#include <glib.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace cornelcross::test {

namespace {

using Json = nlohmann::json;
using Query = std::map<std::string, std::string>;

Query queryOf(const std::string& aPath)
{
  Query query;
  const std::string text = aPath.substr(aPath.find('?') + 1);
  GUriParamsIter iterator;
  g_uri_params_iter_init(&iterator, text.c_str(), -1, "&", G_URI_PARAMS_NONE);
  char* name = nullptr;
  char* value = nullptr;
  while (g_uri_params_iter_next(&iterator, &name, &value, nullptr) == TRUE) {
    query[name] = value;
    g_free(name);
    g_free(value);
  }
  return query;
}

std::string toBase64(const std::string& aText)
{
  const std::unique_ptr<char, void (*)(void*)> encoded(
    g_base64_encode(reinterpret_cast<const guchar*>(aText.data()), aText.size()), g_free);
  return encoded.get();
}

template<class Change>
Json toJson(const Change& aChange)
{
  Json item{ { "key", aChange.mKey }, { "revision", aChange.mRevision } };
  if (aChange.mValue) {
    item["value"] = toBase64(*aChange.mValue);
    item["created"] = aChange.mCreated;
    item["lease"] = aChange.mLease;
  } else {
    item["removed"] = true;
  }
  return item;
}

} // namespace

std::uint64_t StoreContent::put(const std::string& aKey,
                                const std::string& aValue,
                                std::uint64_t aLease)
{
  const auto found = mItems.find(aKey);
  const std::uint64_t created = found == mItems.end() ? mRevision + 1 : found->second.mCreated;
  mItems[aKey] = { aKey, ++mRevision, aValue, created, aLease };
  mHistory.push_back(mItems[aKey]);
  return mRevision;
}

std::uint64_t StoreContent::remove(const std::string& aKey)
{
  mItems.erase(aKey);
  mHistory.push_back({ aKey, ++mRevision, std::nullopt, 0, 0 });
  return mRevision;
}

void StoreContent::restore(const StoreContent& aCopy)
{
  mItems = aCopy.mItems;
  mHistory = aCopy.mHistory;
  mRevision = aCopy.mRevision;
  ++mEra;
  if (mEraHeader) {
    mEraHeader = std::to_string(mEra);
  }
}

std::optional<std::string> StoreContent::value(const std::string& aKey) const
{
  const auto item = mItems.find(aKey);
  return item == mItems.end() ? std::nullopt : item->second.mValue;
}

std::vector<std::string> StoreContent::keys() const
{
  std::vector<std::string> keys;
  for (const auto& [key, item] : mItems) {
    keys.push_back(key);
  }
  return keys;
}

net::HttpClientResponse StoreContent::respond(const std::string& aPath) const
{
  net::HttpClientResponse response{ SOUP_STATUS_OK, "", {} };
  if (mEraHeader) {
    response.mHeaders["store-era"] = *mEraHeader;
  }
  const Query query = queryOf(aPath);
  Json body{ { "storeRevision", mRevision } };
  if (aPath.starts_with("/-/kv-range")) {
    body["items"] = Json::array();
    const auto after = query.find("after");
    auto item = after == query.end() ? mItems.begin() : mItems.upper_bound(after->second);
    const auto prefix = query.find("prefix");
    for (; item != mItems.end() && body["items"].size() < mPageSize; ++item) {
      if (prefix == query.end() || item->first.starts_with(prefix->second)) {
        body["items"].push_back(toJson(item->second));
      }
    }
    body["morePages"] = item != mItems.end();
  } else {
    const std::uint64_t after = std::stoull(query.at("after"));
    if (after > mRevision) {
      response.mStatus = SOUP_STATUS_GONE;
      return response;
    }
    body["events"] = Json::array();
    for (const Change& change : mHistory) {
      if (change.mRevision > after) {
        body["events"].push_back(toJson(change));
      }
    }
  }
  response.mBody = body.dump();
  return response;
}

} // namespace cornelcross::test
