#pragma once

#include "config/document_store.hpp"
#include "platform/store/store_content.hpp"
#include "platform/store_reader.hpp"

namespace cornelcross::test {

/// @brief A process that reads the store and pulls from its peers, without I/O.
class StoreProcess
{
public:
  /// Makes the response to a path.
  using Respond = std::function<net::HttpResult(const std::string&)>;

  explicit StoreProcess(base::Time& aNow) : mNow(aNow) {}

  /// @brief Reads once, with one response of aRespond for each request.
  /// @return true if the read succeeded
  bool read(const Respond& aRespond, unsigned aWaitSeconds = 0);

  /// @brief Checks once for changes, as after a pause. @return true if the check succeeded
  bool check(const Respond& aRespond);

  /// @brief Starts a read; finishRead() ends it.
  void startRead(unsigned aWaitSeconds = 0, bool aIsCheck = false);

  /// @brief Ends a read with one response of aRespond for each request.
  /// @return true if the read succeeded
  bool finishRead(const Respond& aRespond);

  /// @brief Reads aContent once.
  bool read(const StoreContent& aContent, unsigned aWaitSeconds = 0)
  {
    return read([&](const std::string& aPath) { return aContent.respond(aPath); }, aWaitSeconds);
  }

  /// @brief Accepts the changes that aPeer has and this process lacks.
  void pullFrom(const StoreProcess& aPeer);

  /// @brief Accepts documents of a peer.
  void accept(const config::DocumentBatch& aBatch) { mDocuments.merge(aBatch); }

  /// @brief Service to which an address leads; empty if there is no such address.
  std::string routedService(const std::string& aAddress = "198.18.0.1:443") const;

  /// @brief Names of the upstreams of a service, each with its state.
  std::set<std::string> upstreams(const std::string& aService = "log") const;

  bool isZoneInService(const std::string& aZone) const
  {
    return mDocuments.configuration()->isZoneInService(aZone);
  }

  std::uint64_t revision() const { return mDocuments.revision(); }

  const config::Configuration& configuration() const { return *mDocuments.configuration(); }

  /// True for a program that predates the reader state and neither requests nor sends it.
  bool mIsOldProgram = false;

  bool mIsProvisional = false;                  ///< of the last read that succeeded
  std::string mFailure;                         ///< reason why the last read failed
  std::optional<net::ConfigResponse> mResponse; ///< of the last read, if it succeeded
  std::vector<telemetry::Event> mEvents;

private:
  base::Time& mNow;
  platform::StoreReader::Step mStep; ///< of the current read
  std::uint64_t mReadRevision = 0;   ///< accepted at its start
  config::DocumentStore mDocuments;
  platform::StoreReader mReader = makeReader();

  platform::StoreReader makeReader();
};

} // namespace cornelcross::test
