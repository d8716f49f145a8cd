#include "net/admin_server.hpp"

namespace cornelcross::net {

namespace {

HttpServerResponse toResponse(Health aHealth)
{
  switch (aHealth) {
    case Health::kReady:
      return { SOUP_STATUS_OK, "text/plain", "ok\n" };
    case Health::kStarting:
      return { SOUP_STATUS_SERVICE_UNAVAILABLE, "text/plain", "no configuration\n" };
    case Health::kStopping:
      return { SOUP_STATUS_SERVICE_UNAVAILABLE, "text/plain", "stopping\n" };
  }
  return { SOUP_STATUS_INTERNAL_SERVER_ERROR, "text/plain", "unknown\n" };
}

} // namespace

AdminServer::AdminServer(flow::Endpoint aLocal,
                         const telemetry::Metrics& aMetrics,
                         std::function<nlohmann::json()> aStatus,
                         std::function<Health()> aHealth,
                         const std::optional<HealthPage>& aHealthPage)
  : mServer(aLocal)
{
  mServer.handle("/metrics", [&aMetrics] {
    return HttpServerResponse{ SOUP_STATUS_OK, "text/plain; version=0.0.4", aMetrics.expose() };
  });
  mServer.handle("/status", [status = std::move(aStatus)] {
    return HttpServerResponse{ SOUP_STATUS_OK, "application/json", status().dump(2) + "\n" };
  });
  if (aHealthPage) {
    mHealthServer = std::make_unique<HttpServer>(aHealthPage->mListen);
    mHealthServer->handle(aHealthPage->mPath, [aHealth] { return toResponse(aHealth()); });
  }
  mServer.handle("/healthz", [health = std::move(aHealth)] { return toResponse(health()); });
}

} // namespace cornelcross::net
