#pragma once

#include "config/document_store.hpp"
#include "net/config_watch.hpp"
#include "telemetry/event_log.hpp"

namespace cornelcross::net {

/// @brief Keeps a document store up to date from the configuration service and logs each change.
class ConfigReader
{
public:
  /// @brief Called with each configuration that comes into force.
  using Listener = std::function<void(config::ConfigurationPtr)>;

  ConfigReader(flow::Endpoint aService, const telemetry::EventLog& aLog, Listener aListener);

  /// @brief Starts reading.
  void start() { mWatch.start(); }

  /// @brief Accepted documents.
  const config::DocumentStore& store() const { return mStore; }

  /// @brief Calls made to the configuration service.
  std::uint64_t calls() const { return mWatch.calls(); }

private:
  void onAnswer(const std::variant<DocumentBatch, WatchFailure>& aAnswer);

  const telemetry::EventLog& mLog;
  Listener mListener;
  config::DocumentStore mStore;
  ConfigWatch mWatch;
};

} // namespace cornelcross::net
