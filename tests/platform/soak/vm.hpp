#pragma once

#include "platform/soak/upstream.hpp"
#include "scenarios/runner/child.hpp"

#include <filesystem>
#include <nlohmann/json.hpp>
#include <utility>

namespace cornelcross::soak {

/// @brief Ports that are the same on all VMs.
struct Ports
{
  static constexpr std::uint16_t kPacket = 8172;
  static constexpr std::uint16_t kOutbound = 8162;
  static constexpr std::uint16_t kUpstream = 8165;
  static constexpr std::uint16_t kReadiness = 8167;
  static constexpr std::uint16_t kStore = 8169;
};

/// @brief One VM: a program of cornelcross and, beside an agent, an upstream. The platform restarts
/// a program that ends.
class Vm
{
public:
  /// @param aSettings contents of the settings file
  /// @param aFolder   folder for logs and the settings file
  Vm(std::string aName,
     flow::Ipv4Address aAddress,
     std::string aRole,
     nlohmann::json aSettings,
     std::string aProgram,
     std::filesystem::path aFolder);

  const std::string& name() const { return mName; }
  flow::Ipv4Address address() const { return mAddress; }
  bool isBalancer() const { return mRole == "balancer"; }
  std::string zone() const { return mSettings.at("zone"); }
  std::string service() const { return mSettings.value("service", ""); }
  flow::Endpoint endpoint(std::uint16_t aPort) const { return { mAddress, aPort }; }

  /// @brief Writes the settings file with another service of the upstream.
  void setService(const std::string& aService);

  /// @brief Starts the program, and again whenever it ends, until retire() or powerOff().
  void powerOn();

  /// @brief Stops the program, which may run on for its grace time.
  void retire();

  /// @brief Kills the program for good.
  void powerOff();

  bool isOn() const { return mIsOn; }
  bool isRunning() const { return mProgram != nullptr && mProgram->isRunning(); }

  /// @brief Sends a signal to the program if it runs.
  void signal(int aSignal);

  /// @brief Restarts the program if it has ended. Called every few milliseconds.
  void onTick(base::Time aNow);

  /// @brief True once for each end of the program that no signal explains.
  bool takeUnexplainedEnd() { return std::exchange(mHasUnexplainedEnd, false); }

  /// @brief True if the program wrote that its address is in use.
  bool hasFailedToBind() const;

  std::unique_ptr<Upstream> mUpstream; ///< empty if there is none or it has ended

private:
  void writeSettings() const;
  void start();

  std::string mName;
  flow::Ipv4Address mAddress;
  std::string mRole;
  nlohmann::json mSettings;
  std::string mProgramPath;
  std::filesystem::path mFolder;
  std::filesystem::path mLog; ///< of the running or last program
  std::unique_ptr<scenarios::Child> mProgram;
  bool mIsOn = false;
  bool mIsSignalled = false; ///< the program got a signal that ends it
  bool mHasUnexplainedEnd = false;
  unsigned mStarts = 0;
  std::optional<base::Time> mRestartAt;
};

} // namespace cornelcross::soak
