#pragma once

#include "net/config_client.hpp"
#include "telemetry/event.hpp"

#include <optional>

namespace cornelcross::net {

/// @brief Source from which a process reads configuration documents. One read is in progress at a
/// time; a new read cancels the previous one.
struct DocumentSource
{
  /// Starts a read of the documents that changed after a revision. The second argument is the
  /// longest time, in seconds, that the source may wait for a change. The third is true if what has
  /// changed since the last read suffices.
  std::function<void(std::uint64_t, unsigned, bool)> mRead;

  /// Returns the number of HTTP requests sent so far.
  std::function<std::uint64_t()> mRequestCount;

  /// Returns the batch to merge for one that a peer sent, which may be older than what the source
  /// has read. Empty if revisions alone order the documents.
  std::function<config::DocumentBatch(config::DocumentBatch)> mReconcile = {};
};

/// @brief Callbacks of a process that its document source uses.
struct DocumentSourceContext
{
  /// To be called once with the result of each read that is not cancelled.
  ConfigClient::Listener mOnResult;

  /// Returns the accepted document of a key; empty if there is none.
  std::function<std::optional<config::Document>(const std::string&)> mFindAccepted;

  /// Returns the keys with a prefix that have an accepted document, without deleted documents.
  std::function<std::vector<std::string>(const std::string&)> mFindAcceptedKeys;

  /// Logs an event.
  std::function<void(const telemetry::Event&)> mLogEvent;
};

/// @brief Makes the document source of a process.
using DocumentSourceFactory = std::function<DocumentSource(DocumentSourceContext)>;

/// @brief Returns a factory of sources that read the configuration service at aService.
DocumentSourceFactory configServiceSource(flow::Endpoint aService);

} // namespace cornelcross::net
