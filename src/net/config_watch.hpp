#pragma once

#include "base/time.hpp"
#include "config/document_batch.hpp"
#include "flow/endpoint.hpp"

#include <functional>
#include <libsoup/soup.h>
#include <variant>

namespace cornelcross::net {

using config::DocumentBatch;

/// @brief Why a read of the configuration service gave nothing.
struct WatchFailure
{
  std::string mReason;
};

/// @brief Reads the configuration service by long polling over HTTP, one request at a time:
/// GET /v1/documents?after=REVISION&wait=SECONDS. Each request has a deadline of its own and a
/// failed one is retried after a delay with jitter, so that a silent connection never blocks it.
class ConfigWatch
{
public:
  /// @brief Called with each answer.
  using Listener = std::function<void(const std::variant<DocumentBatch, WatchFailure>&)>;

  /// @param aService  endpoint of the configuration service
  /// @param aRevision asks for the highest revision seen so far
  /// @param aListener receives each answer or failure
  ConfigWatch(flow::Endpoint aService,
              std::function<std::uint64_t()> aRevision,
              Listener aListener);
  ~ConfigWatch();
  ConfigWatch(const ConfigWatch&) = delete;
  ConfigWatch& operator=(const ConfigWatch&) = delete;

  /// @brief Starts polling.
  void start();

  /// @brief Requests made so far.
  std::uint64_t calls() const { return mCalls; }

  /// @brief Parses an answer of the service.
  static std::variant<DocumentBatch, WatchFailure> parse(const std::string& aBody);

private:
  static void onResponse(GObject* aSession, GAsyncResult* aResult, gpointer aSelf);
  static gboolean onTimer(gpointer aSelf);
  void request();
  void finish(GAsyncResult* aResult);

  flow::Endpoint mService;
  std::function<std::uint64_t()> mRevision;
  Listener mListener;
  SoupSession* mSession;
  SoupMessage* mMessage = nullptr;
  GCancellable* mCancellable;
  guint mTimer = 0;
  std::uint64_t mCalls = 0;
};

} // namespace cornelcross::net
