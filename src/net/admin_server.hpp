#pragma once

#include "net/deployment_hooks.hpp"
#include "net/health.hpp"
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
  /// @param aHealth  tells what /healthz answers
  /// @param aHealthPage another endpoint and path that answer likewise
  AdminServer(flow::Endpoint aLocal,
              const telemetry::Metrics& aMetrics,
              std::function<nlohmann::json()> aStatus,
              std::function<Health()> aHealth,
              const std::optional<HealthPage>& aHealthPage = {});

private:
  HttpServer mServer;
  std::unique_ptr<HttpServer> mHealthServer; ///< of the page of its own
};

} // namespace cornelcross::net
