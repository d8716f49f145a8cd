#pragma once

#include "net/config_client.hpp"
#include "telemetry/event.hpp"

#include <optional>

namespace cornelcross::net {

/// @brief Where a process reads documents from. One read is in progress at a time; a new one gives
/// up the one before it.
struct DocumentSource
{
  /// Starts a read of what changed after a revision; the service may hold it for some seconds.
  std::function<void(std::uint64_t, unsigned)> mRead;

  /// Calls made so far.
  std::function<std::uint64_t()> mRequestCount;
};

/// @brief What a source may learn from the process that it reads for.
struct DocumentSourceContext
{
  /// To be called once with the result of each read that isn't given up.
  ConfigClient::Listener mOnResult;

  /// The accepted document of a key; empty if there is none.
  std::function<std::optional<config::Document>(const std::string&)> mFindAccepted;

  /// Keys with this prefix of which a document is accepted, deleted ones left out.
  std::function<std::vector<std::string>(const std::string&)> mFindAcceptedKeys;

  /// Logs an event.
  std::function<void(const telemetry::Event&)> mLogEvent;
};

/// @brief Makes the source of a process.
using DocumentSourceFactory = std::function<DocumentSource(DocumentSourceContext)>;

/// @brief The configuration service at aService.
DocumentSourceFactory configServiceSource(flow::Endpoint aService);

} // namespace cornelcross::net
