#pragma once

#include "config/document_batch.hpp"
#include "flow/endpoint.hpp"
#include "net/http_client.hpp"

#include <functional>
#include <variant>

namespace cornelcross::net {

/// @brief Response of the configuration service.
struct ConfigResponse
{
  config::DocumentBatch mBatch;
  std::size_t mBodyBytes = 0; ///< size of the HTTP body

  /// False while the service recovers from an older copy: it may lack changes that are active.
  bool mIsCurrent = true;

  /// True if the documents come from a service that recovers and this process had no others:
  /// revisions do not order them among processes that read them so.
  bool mIsProvisional = false;

  /// True if the service may have deleted documents of which the batch has no tombstone.
  bool mAreDeletionsUnknown = false;
};

/// @brief Reason why a read of the configuration service failed.
struct ConfigFailure
{
  std::string mReason;
};

/// @brief Result of one read.
using ConfigResult = std::variant<ConfigResponse, ConfigFailure>;

/// @brief Reads the configuration service over HTTP, one request at a time:
/// GET /v1/documents?after=REVISION&wait=SECONDS.
class ConfigClient
{
public:
  /// @brief Called once with the result of each read that is not cancelled.
  using Listener = std::function<void(const ConfigResult&)>;

  ConfigClient(flow::Endpoint aService, Listener aListener);

  /// @brief Starts a read and cancels a read in progress.
  /// @param aAfterRevision revision up to which the caller has all documents; 0 requests a snapshot
  /// @param aWaitSeconds   longest time that the service may wait for a change before it responds
  void read(std::uint64_t aAfterRevision, unsigned aWaitSeconds);

  /// @brief Number of HTTP requests sent so far.
  std::uint64_t requestCount() const { return mClient.requestCount(); }

  /// @brief Parses the body of a response.
  static ConfigResult parse(const std::string& aBody);

private:
  static ConfigResult resultOf(const HttpResult& aResult);

  flow::Endpoint mService;
  Listener mListener;
  HttpClient mClient;
};

} // namespace cornelcross::net
