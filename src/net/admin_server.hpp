#pragma once

#include "net/http_server.hpp"
#include "telemetry/metrics.hpp"

#include <nlohmann/json.hpp>

namespace cornelcross::net {

/// @brief Serves /metrics, /status and /healthz of a process.
class AdminServer
{
public:
  /// @param aLocal   endpoint to listen on
  /// @param aMetrics metrics to expose
  /// @param aStatus  makes the document for /status
  /// @param aIsReady tells whether /healthz answers 200 or 503
  AdminServer(flow::Endpoint aLocal,
              const telemetry::Metrics& aMetrics,
              std::function<nlohmann::json()> aStatus,
              std::function<bool()> aIsReady);

private:
  HttpServer mServer;
};

} // namespace cornelcross::net
