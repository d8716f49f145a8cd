#pragma once

#include "flow/endpoint.hpp"

namespace cornelcross::bench {

/// @brief Body of GET aPath; empty on any failure.
std::string httpGet(flow::Endpoint aServer, const std::string& aPath);

/// @brief PUTs aBody to aPath. @return the body of the answer
std::string httpPut(flow::Endpoint aServer, const std::string& aPath, const std::string& aBody);

/// @brief Sum of all samples of a metric in the Prometheus text format whose labels hold aLabel.
double metricSum(const std::string& aText, const std::string& aName, const std::string& aLabel);

} // namespace cornelcross::bench
