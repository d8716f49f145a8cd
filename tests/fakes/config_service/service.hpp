#pragma once

#include "flow/endpoint.hpp"

#include <libsoup/soup.h>
#include <list>
#include <map>
#include <set>
#include <string>

namespace cornelcross::fakes {

/// @brief Fake configuration service. Readers: GET /v1/documents?after=REVISION&wait=SECONDS.
/// Operators: PUT or DELETE /v1/documents/KEY. Tests: PUT /control/mode with "up", "down" (answers
/// 503), "silent" (never answers), "slow" (answers a second late) or "stale" (answers as it was
/// when this mode began, or at the last "mark"); "MODE PORT" sets the mode of the readers that use
/// one port, and "forget" leaves every connection of now without an answer while new ones work.
class ConfigService
{
public:
  ConfigService(flow::Endpoint aListen, std::string aName);
  ~ConfigService();
  ConfigService(const ConfigService&) = delete;
  ConfigService& operator=(const ConfigService&) = delete;

  /// @brief Listens on one more endpoint. @throws std::runtime_error if it can't be bound
  void listen(flow::Endpoint aListen);

  /// @brief Publishes a document under a new revision.
  std::uint64_t publish(const std::string& aKey, const std::string& aValue);

  /// @brief Sets the mode as PUT /control/mode does.
  void setMode(const std::string& aMode);

private:
  struct Entry
  {
    std::uint64_t mRevision = 0;
    std::string mValue; ///< JSON; "null" for a tombstone
  };

  struct Snapshot
  {
    std::uint64_t mRevision = 0;
    std::map<std::string, Entry> mEntries;
  };

  struct Waiter
  {
    ConfigService* mOwner;
    SoupServerMessage* mMessage;
    std::uint64_t mAfter;
    guint mTimer;
    gulong mFinished;
  };

  static void onDocuments(SoupServer* aServer,
                          SoupServerMessage* aMessage,
                          const char* aPath,
                          GHashTable* aQuery,
                          gpointer aSelf);
  static void onControl(SoupServer* aServer,
                        SoupServerMessage* aMessage,
                        const char* aPath,
                        GHashTable* aQuery,
                        gpointer aSelf);
  static gboolean onWaitOver(gpointer aWaiter);
  static void onFinished(SoupServerMessage* aMessage, gpointer aWaiter);
  void read(SoupServerMessage* aMessage, GHashTable* aQuery);
  void answer(SoupServerMessage* aMessage, std::uint64_t aAfter) const;
  void wait(SoupServerMessage* aMessage, std::uint64_t aAfter, unsigned aSeconds);
  bool isStaleAnywhere() const;
  void forgetConnections();
  const std::string& modeOf(SoupServerMessage* aMessage) const;
  void wake();
  void release(Waiter* aWaiter);
  const Snapshot& visible(SoupServerMessage* aMessage) const
  {
    return modeOf(aMessage) == "stale" ? mStale : mCurrent;
  }

  std::string mName;
  SoupServer* mServer;
  std::string mMode = "up";
  std::map<std::uint16_t, std::string> mModes; ///< by port, instead of mMode
  std::set<std::string> mConnections;          ///< endpoints of readers that were seen
  std::set<std::string> mForgotten;            ///< those that get no answer
  Snapshot mCurrent;
  Snapshot mStale;
  bool mIsMarked = false; ///< mStale stays as it is
  std::list<Waiter*> mWaiters;
  std::uint64_t mCalls = 0;
};

} // namespace cornelcross::fakes
