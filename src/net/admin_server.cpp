#include "net/admin_server.hpp"

namespace cornelcross::net {

AdminServer::AdminServer(flow::Endpoint aLocal,
                         const telemetry::Metrics& aMetrics,
                         std::function<nlohmann::json()> aStatus,
                         std::function<bool()> aIsReady)
  : mServer(aLocal)
{
  mServer.handle("/metrics", [&aMetrics] {
    return HttpResponse{ SOUP_STATUS_OK, "text/plain; version=0.0.4", aMetrics.expose() };
  });
  mServer.handle("/status", [status = std::move(aStatus)] {
    return HttpResponse{ SOUP_STATUS_OK, "application/json", status().dump(2) + "\n" };
  });
  mServer.handle("/healthz", [isReady = std::move(aIsReady)] {
    return isReady()
             ? HttpResponse{ SOUP_STATUS_OK, "text/plain", "ok\n" }
             : HttpResponse{ SOUP_STATUS_SERVICE_UNAVAILABLE, "text/plain", "no configuration\n" };
  });
}

} // namespace cornelcross::net
