#pragma once

#include "config/document_batch.hpp"
#include "flow/endpoint.hpp"
#include "net/http_client.hpp"

#include <functional>
#include <variant>

namespace cornelcross::net {

/// @brief An answer of the configuration service.
struct ConfigResponse
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
using ConfigResult = std::variant<ConfigResponse, ConfigFailure>;

/// @brief Reads the configuration service over HTTP, one call at a time:
/// GET /v1/documents?after=REVISION&wait=SECONDS.
class ConfigClient
{
public:
  /// @brief Called once with the result of each read that isn't given up.
  using Listener = std::function<void(const ConfigResult&)>;

  ConfigClient(flow::Endpoint aService, Listener aListener);

  /// @brief Starts a read; one in progress is given up.
  /// @param aAfter       revision up to which everything is known
  /// @param aWaitSeconds how long the service may hold the call for a change
  void read(std::uint64_t aAfter, unsigned aWaitSeconds);

  /// @brief Calls made so far.
  std::uint64_t requestCount() const { return mClient.requestCount(); }

  /// @brief Parses the body of an answer.
  static ConfigResult parse(const std::string& aBody);

private:
  static ConfigResult resultOf(const HttpResult& aResult);

  flow::Endpoint mService;
  Listener mListener;
  HttpClient mClient;
};

} // namespace cornelcross::net
