#pragma once

#include "flow/endpoint.hpp"

#include <optional>

namespace cornelcross::scenarios {

/// @brief Sends an HTTP request with a timeout of 2 s. @return the body of a response with status
/// 200; std::nullopt otherwise
std::optional<std::string> sendHttpRequest(const std::string& aMethod,
                                           flow::Endpoint aServer,
                                           const std::string& aPath,
                                           const std::string& aBody = "");

} // namespace cornelcross::scenarios
