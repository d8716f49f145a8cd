#pragma once

#include "flow/endpoint.hpp"

namespace cornelcross::scenarios {

/// @brief Loopback addresses 127.33.R.0/24 reserved for one run, so that several runs can share a
/// machine.
class AddressRange
{
public:
  /// @brief Reserves a range that no other run has reserved; the search starts at a range that
  /// depends on the process ID. @throws std::runtime_error if every range is reserved
  AddressRange();
  ~AddressRange();
  AddressRange(const AddressRange&) = delete;
  AddressRange& operator=(const AddressRange&) = delete;

  /// @brief Returns the endpoint with host number aHostNumber (R.aHostNumber in the range) and port
  /// aPort.
  flow::Endpoint endpoint(unsigned aHostNumber, std::uint16_t aPort) const;

private:
  int mLockSocket = -1;
  unsigned mRangeNumber = 0;
};

} // namespace cornelcross::scenarios
