#include "fakes/config_service/service.hpp"

#include "fakes/common/record.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace cornelcross::fakes {

namespace {

constexpr unsigned kSlowSeconds = 1;
constexpr unsigned kSilentSeconds = 3600;
constexpr std::string_view kDocumentsPath = "/v1/documents";

std::string queryValue(GHashTable* aQuery, const char* aName)
{
  const auto* value =
    aQuery == nullptr ? nullptr : static_cast<const char*>(g_hash_table_lookup(aQuery, aName));
  return value == nullptr ? "0" : value;
}

std::string endpointOf(GSocketAddress* aAddress)
{
  gchar* text = g_socket_connectable_to_string(G_SOCKET_CONNECTABLE(aAddress));
  std::string endpoint = text;
  g_free(text);
  return endpoint;
}

std::string requestBody(SoupServerMessage* aMessage)
{
  GBytes* bytes = soup_message_body_flatten(soup_server_message_get_request_body(aMessage));
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  std::string body(data == nullptr ? "" : data, size);
  g_bytes_unref(bytes);
  return body;
}

} // namespace

ConfigService::ConfigService(flow::Endpoint aListen, std::string aName)
  : mName(std::move(aName)), mServer(soup_server_new(nullptr, nullptr))
{
  listen(aListen);
  soup_server_add_handler(
    mServer, kDocumentsPath.data(), &ConfigService::onDocuments, this, nullptr);
  soup_server_add_handler(mServer, "/control/mode", &ConfigService::onControl, this, nullptr);
}

void ConfigService::listen(flow::Endpoint aListen)
{
  GError* error = nullptr;
  GSocketAddress* address =
    g_inet_socket_address_new_from_string(aListen.mAddress.toString().c_str(), aListen.mPort);
  const bool isListening =
    soup_server_listen(mServer, address, static_cast<SoupServerListenOptions>(0), &error) == TRUE;
  g_object_unref(address);
  if (!isListening) {
    throw std::runtime_error(error->message);
  }
}

ConfigService::~ConfigService()
{
  const std::list<Waiter*> waiters = mWaiters;
  for (Waiter* waiter : waiters) {
    release(waiter);
  }
  soup_server_disconnect(mServer);
  g_object_unref(mServer);
}

std::uint64_t ConfigService::publish(const std::string& aKey, const std::string& aValue)
{
  const std::uint64_t revision = ++mCurrent.mRevision;
  mCurrent.mEntries[aKey] = { revision, aValue };
  record(mName, "published", { { "key", aKey }, { "revision", std::to_string(revision) } });
  wake();
  return revision;
}

void ConfigService::onDocuments(SoupServer*,
                                SoupServerMessage* aMessage,
                                const char* aPath,
                                GHashTable* aQuery,
                                gpointer aSelf)
{
  auto* self = static_cast<ConfigService*>(aSelf);
  const std::string method = soup_server_message_get_method(aMessage);
  if (method == "GET") {
    self->read(aMessage, aQuery);
    return;
  }
  const std::string path = aPath;
  if (path.size() <= kDocumentsPath.size() + 1) {
    soup_server_message_set_status(aMessage, SOUP_STATUS_BAD_REQUEST, nullptr);
    return;
  }
  const std::string value = method == "DELETE" ? "null" : requestBody(aMessage);
  const std::string reply =
    std::to_string(self->publish(path.substr(kDocumentsPath.size() + 1), value)) + "\n";
  soup_server_message_set_status(aMessage, SOUP_STATUS_OK, nullptr);
  soup_server_message_set_response(
    aMessage, "text/plain", SOUP_MEMORY_COPY, reply.data(), reply.size());
}

void ConfigService::onControl(SoupServer*,
                              SoupServerMessage* aMessage,
                              const char*,
                              GHashTable*,
                              gpointer aSelf)
{
  auto* self = static_cast<ConfigService*>(aSelf);
  self->setMode(requestBody(aMessage));
  soup_server_message_set_status(aMessage, SOUP_STATUS_OK, nullptr);
}

void ConfigService::setMode(const std::string& aMode)
{
  record(mName, "mode", { { "mode", '"' + aMode + '"' }, { "calls", std::to_string(mCalls) } });
  const auto space = aMode.find(' ');
  const bool isFirstStale = aMode.starts_with("stale") && !mIsMarked && !isStaleAnywhere();
  if (aMode == "mark" || isFirstStale) {
    mStale = mCurrent;
    mIsMarked = mIsMarked || aMode == "mark";
  }
  if (aMode == "mark") {
    return;
  }
  if (aMode == "forget") {
    forgetConnections();
  } else if (space != std::string::npos) {
    mModes[static_cast<std::uint16_t>(std::stoul(aMode.substr(space + 1)))] =
      aMode.substr(0, space);
  } else {
    mMode = aMode;
    mModes.clear();
  }
  wake();
}

bool ConfigService::isStaleAnywhere() const
{
  return mMode == "stale" || std::any_of(mModes.begin(), mModes.end(), [](const auto& aEntry) {
           return aEntry.second == "stale";
         });
}

void ConfigService::forgetConnections()
{
  mForgotten = mConnections;
  for (Waiter* waiter : mWaiters) {
    waiter->mAfter = UINT64_MAX;
    g_source_remove(waiter->mTimer);
    waiter->mTimer = g_timeout_add_seconds(kSilentSeconds, &ConfigService::onWaitOver, waiter);
  }
}

const std::string& ConfigService::modeOf(SoupServerMessage* aMessage) const
{
  auto* address = G_INET_SOCKET_ADDRESS(soup_server_message_get_local_address(aMessage));
  const auto found = mModes.find(g_inet_socket_address_get_port(address));
  return found == mModes.end() ? mMode : found->second;
}

void ConfigService::read(SoupServerMessage* aMessage, GHashTable* aQuery)
{
  ++mCalls;
  const std::uint64_t after = std::stoull(queryValue(aQuery, "after"));
  const auto seconds = static_cast<unsigned>(std::stoul(queryValue(aQuery, "wait")));
  const std::string reader = endpointOf(soup_server_message_get_remote_address(aMessage));
  mConnections.insert(reader);
  const std::string& mode = modeOf(aMessage);
  if (mode == "down") {
    soup_server_message_set_status(aMessage, SOUP_STATUS_SERVICE_UNAVAILABLE, nullptr);
  } else if (mode == "silent" || mForgotten.count(reader) != 0) {
    wait(aMessage, UINT64_MAX, kSilentSeconds);
  } else if (mode == "slow") {
    wait(aMessage, UINT64_MAX, kSlowSeconds);
  } else if (visible(aMessage).mRevision > after || seconds == 0) {
    answer(aMessage, after);
  } else {
    wait(aMessage, after, seconds);
  }
}

void ConfigService::answer(SoupServerMessage* aMessage, std::uint64_t aAfter) const
{
  nlohmann::json documents = nlohmann::json::array();
  for (const auto& [key, entry] : visible(aMessage).mEntries) {
    if (entry.mRevision <= aAfter) {
      continue;
    }
    // A value that isn't JSON is passed on as text: readers must reject it, not the service.
    auto value = nlohmann::json::parse(entry.mValue, nullptr, false);
    if (value.is_discarded()) {
      value = entry.mValue;
    }
    documents.push_back({ { "key", key }, { "revision", entry.mRevision }, { "value", value } });
  }
  const std::string body = nlohmann::json{
    { "revision", visible(aMessage).mRevision }, { "documents", documents }
  }.dump();
  soup_server_message_set_status(aMessage, SOUP_STATUS_OK, nullptr);
  soup_server_message_set_response(
    aMessage, "application/json", SOUP_MEMORY_COPY, body.data(), body.size());
}

void ConfigService::wait(SoupServerMessage* aMessage, std::uint64_t aAfter, unsigned aSeconds)
{
  auto* waiter = new Waiter{ this, aMessage, aAfter, 0, 0 };
  waiter->mTimer = g_timeout_add_seconds(aSeconds, &ConfigService::onWaitOver, waiter);
  waiter->mFinished =
    g_signal_connect(aMessage, "finished", G_CALLBACK(&ConfigService::onFinished), waiter);
  mWaiters.push_back(waiter);
  soup_server_message_pause(aMessage);
}

gboolean ConfigService::onWaitOver(gpointer aWaiter)
{
  auto* waiter = static_cast<Waiter*>(aWaiter);
  waiter->mTimer = 0;
  const bool isHeld = waiter->mAfter == UINT64_MAX;
  SoupServerMessage* message = waiter->mMessage;
  ConfigService* owner = waiter->mOwner;
  owner->answer(message, isHeld ? 0 : waiter->mAfter);
  owner->release(waiter);
  soup_server_message_unpause(message);
  return G_SOURCE_REMOVE;
}

void ConfigService::onFinished(SoupServerMessage*, gpointer aWaiter)
{
  auto* waiter = static_cast<Waiter*>(aWaiter);
  waiter->mOwner->release(waiter);
}

void ConfigService::release(Waiter* aWaiter)
{
  if (aWaiter->mTimer != 0) {
    g_source_remove(aWaiter->mTimer);
  }
  g_signal_handler_disconnect(aWaiter->mMessage, aWaiter->mFinished);
  mWaiters.remove(aWaiter);
  delete aWaiter;
}

void ConfigService::wake()
{
  const std::list<Waiter*> waiters = mWaiters;
  for (Waiter* waiter : waiters) {
    SoupServerMessage* message = waiter->mMessage;
    const std::string& mode = modeOf(message);
    if (waiter->mAfter == UINT64_MAX || mode == "silent") {
      continue;
    }
    if (mode == "down") {
      soup_server_message_set_status(message, SOUP_STATUS_SERVICE_UNAVAILABLE, nullptr);
    } else if (visible(message).mRevision > waiter->mAfter) {
      answer(message, waiter->mAfter);
    } else {
      continue;
    }
    release(waiter);
    soup_server_message_unpause(message);
  }
}

} // namespace cornelcross::fakes
