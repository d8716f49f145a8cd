#pragma once

#include "balancer/packet_router.hpp"

#include <nlohmann/json.hpp>

namespace cornelcross::balancer {

/// @brief Document for /status: revision and services with their upstreams. Of a large
/// configuration only the upstreams that take no new flow or whose agent is suspected are listed,
/// and no more than a bounded number of them. @note O(upstreams)
nlohmann::json makeStatus(const std::string& aName, const PacketRouter& aRouter, bool aIsStopping);

} // namespace cornelcross::balancer
