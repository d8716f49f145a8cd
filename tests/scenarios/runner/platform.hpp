#pragma once

#include "scenarios/runner/address_range.hpp"
#include "scenarios/runner/child.hpp"
#include "scenarios/runner/run_log.hpp"
#include "scenarios/runner/run_settings.hpp"

#include <memory>

namespace cornelcross::scenarios {

/// @brief The fakes of the systems that the platform provides: configuration service and fabric.
class Platform
{
public:
  Platform(const RunSettings& aSettings, const AddressRange& aRange, RunLog& aLog);

  /// @brief Starts both fakes and waits until the configuration service replies.
  /// @throws std::runtime_error
  void start();

  /// @brief Terminates both fakes.
  void end();

  /// @brief Publishes a document. @return the revision of the document
  /// @throws std::runtime_error if the configuration service rejects the request
  std::uint64_t publish(const std::string& aKey, const std::string& aText);

  /// @brief Sets the failure mode of the configuration service: MODE for all readers or "MODE PORT"
  /// for the reader at a port.
  /// @throws std::runtime_error if the configuration service rejects the request
  void configMode(const std::string& aMode);

  /// @brief Writes a control line to the fabric.
  void controlFabric(const std::string& aLine);

  /// @brief Returns the endpoint of the configuration service for a reader. Each reader has its own
  /// port, so that the service can fail for single readers.
  flow::Endpoint configEndpoint(std::uint16_t aReaderNumber) const;

  /// @brief Returns the endpoint at which the fabric receives IP packets.
  flow::Endpoint fabricEndpoint() const;

private:
  const RunSettings& mSettings;
  const AddressRange& mRange;
  RunLog& mLog;
  std::unique_ptr<Child> mConfig;
  std::unique_ptr<Child> mFabric;
};

} // namespace cornelcross::scenarios
