#include "scenarios/runner/platform.hpp"

#include "scenarios/runner/http.hpp"
#include "scenarios/runner/wait_until.hpp"

namespace cornelcross::scenarios {

namespace {

constexpr unsigned kConfigHost = 1;
constexpr unsigned kFabricHost = 2;
constexpr std::uint16_t kDataPort = 7000;
constexpr std::uint16_t kConfigPort = 8000;
constexpr unsigned kReaderCount = 120;
constexpr std::chrono::milliseconds kStartTimeout{ 20000 };

} // namespace

Platform::Platform(const RunSettings& aSettings, const AddressRange& aRange, RunLog& aLog)
  : mSettings(aSettings), mRange(aRange), mLog(aLog)
{
}

flow::Endpoint Platform::configEndpoint(std::uint16_t aReaderNumber) const
{
  return mRange.endpoint(kConfigHost, static_cast<std::uint16_t>(kConfigPort + aReaderNumber));
}

flow::Endpoint Platform::fabricEndpoint() const
{
  return mRange.endpoint(kFabricHost, kDataPort);
}

void Platform::start()
{
  mConfig =
    std::make_unique<Child>(std::vector<std::string>{ mSettings.program("fake-config-service"),
                                                      "--listen=" + configEndpoint(0).toString(),
                                                      "--readers=" + std::to_string(kReaderCount) },
                            mSettings.mLogs / "config.log");
  mFabric =
    std::make_unique<Child>(std::vector<std::string>{ mSettings.program("fake-fabric"),
                                                      "--listen=" + fabricEndpoint().toString(),
                                                      "--control",
                                                      "--seed=" + std::to_string(mSettings.mSeed) },
                            mSettings.mLogs / "fabric.log");
  waitUntil("the configuration service replies", kStartTimeout, [this] {
    return sendHttpRequest("GET", configEndpoint(0), "/v1/documents?after=0&wait=0").has_value();
  });
}

void Platform::end()
{
  mFabric.reset();
  mConfig.reset();
}

std::uint64_t Platform::publish(const std::string& aKey, const std::string& aText)
{
  const auto response = sendHttpRequest("PUT", configEndpoint(0), "/v1/documents/" + aKey, aText);
  if (!response) {
    throw std::runtime_error("the configuration service rejected document " + aKey);
  }
  return std::stoull(*response);
}

void Platform::configMode(const std::string& aMode)
{
  mLog.write("config_mode", { { "mode", aMode } });
  if (!sendHttpRequest("PUT", configEndpoint(0), "/control/mode", aMode)) {
    throw std::runtime_error("the configuration service rejected the mode");
  }
}

void Platform::controlFabric(const std::string& aLine)
{
  mFabric->writeLine(aLine);
}

} // namespace cornelcross::scenarios
