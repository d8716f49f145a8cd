#pragma once

#include "flow/endpoint.hpp"

#include <optional>

namespace cornelcross::scenarios {

/// @brief One HTTP request with a deadline of two seconds. @return the body; empty unless status
/// 200
std::optional<std::string> request(const std::string& aMethod,
                                   flow::Endpoint aHost,
                                   const std::string& aPath,
                                   const std::string& aBody = "");

} // namespace cornelcross::scenarios
