#pragma once

#include "balancer/packet_router.hpp"

#include <nlohmann/json.hpp>

namespace cornelcross::balancer {

/// @brief Document for /status: revision, availability zones and upstreams. For a large
/// configuration the document lists only upstreams that accept no new flow or whose agent is
/// suspected, up to a maximum number. @note O(n) for n upstreams
nlohmann::json makeStatus(const std::string& aName, const PacketRouter& aRouter, bool aIsStopping);

} // namespace cornelcross::balancer
