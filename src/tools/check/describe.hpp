#pragma once

#include "config/configuration.hpp"

#include <string>

namespace cornelcross::tools::check {

/// @brief Text for an entry that is not in the configuration.
inline constexpr const char* kUnlisted = "unlisted";

/// @brief Attributes of an upstream; kUnlisted for nullptr.
std::string describe(const config::Configuration& aConfiguration,
                     const config::Upstream* aUpstream);

/// @brief Services behind an address and their weights; kUnlisted for nullptr.
std::string describe(const config::AddressRoute* aRoute);

/// @brief Attributes of a class of request; kUnlisted for nullptr.
std::string describe(const config::RequestClass* aRequestClass);

/// @brief Length and rate of a cold start; "none" if there is none.
std::string describe(const config::ColdStart& aColdStart);

} // namespace cornelcross::tools::check
