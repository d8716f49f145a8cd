#pragma once

#include "admission/admission_settings.hpp"
#include "config/request_class.hpp"

#include <optional>

namespace cornelcross::admission {

/// @brief State of the queue in which a new flow would wait.
struct QueueState
{
  std::size_t mItemsAhead = 0;       ///< items that are served before the flow
  std::uint32_t mSlots = 1;          ///< requests that the upstream processes concurrently
  base::Duration mResponseTime{ 0 }; ///< recent response time of the upstream; 0 if unknown

  auto operator<=>(const QueueState&) const = default;
};

/// @brief Time until the upstream can start the first request of a flow that begins to wait now; 0
/// if the response time is unknown.
base::Duration expectedWait(const QueueState& aState);

/// @brief Decides for how long a new flow waits for free capacity of its best candidate.
///
/// Answers the patterns of a burst of one class and of a service without capacity: a caller whose
/// request cannot be answered within its objective is told so at once and may try again, while
/// those that wait are served in time.
/// @param aClass class of the flow's requests; nullptr if unknown
/// @return empty if the flow is to be refused at once
std::optional<base::Duration> openingWait(const config::RequestClass* aClass,
                                          const AdmissionSettings& aSettings,
                                          const QueueState& aState);

} // namespace cornelcross::admission
