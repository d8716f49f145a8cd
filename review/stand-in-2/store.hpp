#pragma once

#include "base.hpp"

#include <map>
#include <memory>
#include <optional>
#include <poll.h>

namespace review {

/// @brief Stand-in for the platform's store: items with leases, lists and watches over HTTP/1.1.
class Store
{
public:
  explicit Store(std::uint32_t aAddress)
    : mListener(openSocket(SOCK_STREAM, aAddress, Ports::kStore))
  {
  }

  /// @brief Writes an item. @param aLifetime seconds until it expires; 0 for never
  std::uint64_t put(const std::string& aKey, const std::string& aValue, double aLifetime);
  void remove(const std::string& aKey);

  void addTo(std::vector<pollfd>& aFds) const;
  void onReadable(int aFd);
  void onTick();

private:
  struct Item
  {
    std::string mKey;
    std::optional<std::string> mValue; ///< empty if removed
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
    bool mHasLease = false;
    double mExpiresAt = 0;
  };

  struct Connection
  {
    std::string mInput;
    std::uint64_t mWatchAfter = 0;
    double mWatchUntil = 0; ///< 0 unless a watch waits
  };

  void change(Item aItem);
  void handle(int aFd, Connection& aConnection, const std::string& aTarget);
  bool answerWatch(int aFd, Connection& aConnection);
  std::string range(const std::string& aPrefix, const std::string& aAfter) const;
  static std::string toJson(const Item& aItem);
  static void respond(int aFd, const std::string& aBody);

  int mListener;
  std::uint64_t mRevision = 400;
  std::map<std::string, Item> mItems;
  std::vector<Item> mHistory;
  std::map<int, Connection> mConnections;
};

} // namespace review
