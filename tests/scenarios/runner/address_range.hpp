#pragma once

#include "flow/endpoint.hpp"

namespace cornelcross::scenarios {

/// @brief Loopback addresses 127.33.R.0/24 that belong to one run, so that several run at once.
class AddressRange
{
public:
  /// @brief Takes the first range that no other run holds. @throws std::runtime_error
  AddressRange();
  ~AddressRange();
  AddressRange(const AddressRange&) = delete;
  AddressRange& operator=(const AddressRange&) = delete;

  /// @brief Endpoint at the host with this number.
  flow::Endpoint at(unsigned aHost, std::uint16_t aPort) const;

private:
  int mLock = -1;
  unsigned mRange = 0;
};

} // namespace cornelcross::scenarios
