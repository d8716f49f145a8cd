#pragma once

#include "net/deployment_hooks.hpp"
#include "net/health.hpp"
#include "net/http_server.hpp"
#include "telemetry/metrics.hpp"

#include <nlohmann/json.hpp>

namespace cornelcross::net {

/// @brief HTTP server for the /metrics, /status and /healthz pages of a process.
class AdminServer
{
public:
  /// @param aLocal   endpoint to listen on
  /// @param aMetrics metrics to expose
  /// @param aStatus  returns the document for /status
  /// @param aHealth  returns the state that /healthz reports
  /// @param aHealthPage second endpoint and path that report the same state as /healthz
  /// @throws std::runtime_error if an endpoint cannot be bound
  AdminServer(flow::Endpoint aLocal,
              const telemetry::Metrics& aMetrics,
              std::function<nlohmann::json()> aStatus,
              std::function<Health()> aHealth,
              const std::optional<HealthPage>& aHealthPage = {});

private:
  HttpServer mServer;
  std::unique_ptr<HttpServer> mHealthServer; ///< serves aHealthPage
};

} // namespace cornelcross::net
