#include "store.hpp"

#include <algorithm>

namespace review {

namespace {

std::string base64(const std::string& aBytes)
{
  static const std::string alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = i; j < i + 3; ++j) {
      group = (group << 8U) | (j < aBytes.size() ? static_cast<std::uint8_t>(aBytes[j]) : 0U);
    }
    for (unsigned j = 0; j < 4; ++j) {
      text += i + j <= aBytes.size() ? alphabet[(group >> (18U - 6U * j)) & 63U] : '=';
    }
  }
  return text;
}

std::string unescape(const std::string& aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

std::string parameter(const std::string& aTarget, const std::string& aName)
{
  std::size_t start = aTarget.find('?');
  while (start != std::string::npos) {
    const std::size_t end = aTarget.find('&', start + 1);
    const std::string part = aTarget.substr(start + 1, end - start - 1);
    if (part.starts_with(aName + "=")) {
      return unescape(part.substr(aName.size() + 1));
    }
    start = end;
  }
  return "";
}

std::uint64_t number(const std::string& aText)
{
  return aText.empty() ? 0 : std::stoull(aText);
}

} // namespace

void Store::change(Item aItem)
{
  aItem.mRevision = ++mRevision;
  const auto found = mItems.find(aItem.mKey);
  aItem.mCreated = found == mItems.end() ? mRevision : found->second.mCreated;
  mHistory.push_back(aItem);
  if (aItem.mValue) {
    mItems[aItem.mKey] = aItem;
  } else {
    mItems.erase(aItem.mKey);
  }
  for (auto& [fd, connection] : mConnections) {
    answerWatch(fd, connection);
  }
}

std::uint64_t Store::put(const std::string& aKey, const std::string& aValue, double aLifetime)
{
  change({ aKey, aValue, 0, 0, aLifetime > 0, aLifetime > 0 ? now() + aLifetime : 0 });
  return mRevision;
}

void Store::remove(const std::string& aKey)
{
  if (mItems.contains(aKey)) {
    change({ aKey, std::nullopt, 0, 0, false, 0 });
  }
}

void Store::addTo(std::vector<pollfd>& aFds) const
{
  aFds.push_back({ mListener, POLLIN, 0 });
  for (const auto& [fd, connection] : mConnections) {
    aFds.push_back({ fd, POLLIN, 0 });
  }
}

void Store::onReadable(int aFd)
{
  if (aFd == mListener) {
    const int fd = accept4(mListener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      mConnections[fd];
    }
    return;
  }
  const auto found = mConnections.find(aFd);
  if (found == mConnections.end()) {
    return;
  }
  std::vector<char> buffer(8192);
  const ssize_t size = recv(aFd, buffer.data(), buffer.size(), 0);
  if (size <= 0) {
    close(aFd);
    mConnections.erase(found);
    return;
  }
  Connection& connection = found->second;
  connection.mInput.append(buffer.data(), static_cast<std::size_t>(size));
  const std::size_t end = connection.mInput.find("\r\n\r\n");
  if (end != std::string::npos) {
    const std::string line = connection.mInput.substr(0, connection.mInput.find("\r\n"));
    connection.mInput.erase(0, end + 4);
    const std::size_t first = line.find(' ');
    handle(aFd, connection, line.substr(first + 1, line.rfind(' ') - first - 1));
  }
}

void Store::handle(int aFd, Connection& aConnection, const std::string& aTarget)
{
  if (aTarget.starts_with("/-/kv-watch")) {
    aConnection.mWatchAfter = number(parameter(aTarget, "after"));
    aConnection.mWatchUntil =
      now() + static_cast<double>(number(parameter(aTarget, "waitMs"))) / 1e3;
    answerWatch(aFd, aConnection);
    return;
  }
  respond(aFd, range(parameter(aTarget, "prefix"), parameter(aTarget, "after")));
}

bool Store::answerWatch(int aFd, Connection& aConnection)
{
  if (aConnection.mWatchUntil == 0) {
    return false;
  }
  std::string events;
  for (const Item& item : mHistory) {
    if (item.mRevision > aConnection.mWatchAfter) {
      events += (events.empty() ? "" : ",") + toJson(item);
    }
  }
  if (events.empty() && now() < aConnection.mWatchUntil) {
    return false;
  }
  aConnection.mWatchUntil = 0;
  respond(aFd,
          R"({"events":[)" + events + R"(],"storeRevision":)" + std::to_string(mRevision) + "}");
  return true;
}

std::string Store::range(const std::string& aPrefix, const std::string& aAfter) const
{
  std::string items;
  for (const auto& [key, item] : mItems) {
    if (key.starts_with(aPrefix) && key > aAfter) {
      items += (items.empty() ? "" : ",") + toJson(item);
    }
  }
  return R"({"items":[)" + items + R"(],"morePages":false,"storeRevision":)" +
         std::to_string(mRevision) + "}";
}

std::string Store::toJson(const Item& aItem)
{
  const std::string head =
    R"({"key":")" + aItem.mKey + R"(","revision":)" + std::to_string(aItem.mRevision);
  if (!aItem.mValue) {
    return head + R"(,"removed":true})";
  }
  return head + R"(,"value":")" + base64(*aItem.mValue) + R"(","created":)" +
         std::to_string(aItem.mCreated) + R"(,"lease":)" + (aItem.mHasLease ? "77120" : "0") + "}";
}

void Store::respond(int aFd, const std::string& aBody)
{
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                               "Content-Length: " +
                               std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  std::size_t sent = 0;
  for (int tries = 0; sent < response.size() && tries < 1000; ++tries) {
    const ssize_t size = send(aFd, response.data() + sent, response.size() - sent, MSG_NOSIGNAL);
    if (size > 0) {
      sent += static_cast<std::size_t>(size);
    } else {
      usleep(100);
    }
  }
}

void Store::onTick()
{
  std::vector<std::string> expired;
  for (const auto& [key, item] : mItems) {
    if (item.mHasLease && now() >= item.mExpiresAt) {
      expired.push_back(key);
    }
  }
  for (const std::string& key : expired) {
    remove(key);
  }
  for (auto& [fd, connection] : mConnections) {
    answerWatch(fd, connection);
  }
}

} // namespace review
