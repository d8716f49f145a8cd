#pragma once

#include "config/document_batch.hpp"
#include "flow/endpoint.hpp"

#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <variant>

namespace cornelcross::net {

/// @brief An answer of the configuration service.
struct ConfigAnswer
{
  config::DocumentBatch mBatch;
  std::size_t mBytes = 0; ///< size of the body
};

/// @brief Why a read of the configuration service gave nothing.
struct ConfigFailure
{
  std::string mReason;
};

/// @brief Result of one read.
using ConfigResult = std::variant<ConfigAnswer, ConfigFailure>;

/// @brief Reads the configuration service over HTTP, one call at a time:
/// GET /v1/documents?after=REVISION&wait=SECONDS. Each call has a deadline as a whole, and after a
/// failure the next one takes a new connection from a new port.
class ConfigClient
{
public:
  /// @brief Called once with the result of each read that isn't given up.
  using Listener = std::function<void(const ConfigResult&)>;

  ConfigClient(flow::Endpoint aService, Listener aListener);
  ~ConfigClient();
  ConfigClient(const ConfigClient&) = delete;
  ConfigClient& operator=(const ConfigClient&) = delete;

  /// @brief Starts a read; one in progress is given up.
  /// @param aAfter       revision up to which everything is known
  /// @param aWaitSeconds how long the service may hold the call for a change
  void read(std::uint64_t aAfter, unsigned aWaitSeconds);

  /// @brief Calls made so far.
  std::uint64_t calls() const { return mCalls; }

  /// @brief Parses the body of an answer.
  static ConfigResult parse(const std::string& aBody);

private:
  struct Call;

  static void onResponse(GObject* aSession, GAsyncResult* aResult, gpointer aCall);
  static gboolean onDeadline(gpointer aCall);
  static ConfigResult resultOf(SoupMessage* aMessage, GBytes* aBytes, const GError* aError);
  void giveUp();

  flow::Endpoint mService;
  Listener mListener;
  SoupSession* mSession;
  std::shared_ptr<Call> mCall;
  std::uint64_t mCalls = 0;
};

} // namespace cornelcross::net
