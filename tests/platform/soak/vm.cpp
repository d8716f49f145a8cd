#include "platform/soak/vm.hpp"

#include <csignal>
#include <fstream>
#include <sstream>

namespace cornelcross::soak {

namespace {

constexpr base::Duration kRestartDelay = std::chrono::milliseconds(300);

} // namespace

Vm::Vm(std::string aName,
       flow::Ipv4Address aAddress,
       std::string aRole,
       nlohmann::json aSettings,
       std::string aProgram,
       std::filesystem::path aFolder)
  : mName(std::move(aName))
  , mAddress(aAddress)
  , mRole(std::move(aRole))
  , mSettings(std::move(aSettings))
  , mProgramPath(std::move(aProgram))
  , mFolder(std::move(aFolder))
{
  writeSettings();
}

void Vm::setService(const std::string& aService)
{
  mSettings["service"] = aService;
  writeSettings();
}

// A reader never sees half of the file.
void Vm::writeSettings() const
{
  const std::filesystem::path file = mFolder / (mName + ".json");
  const std::filesystem::path next = mFolder / (mName + ".json.next");
  std::ofstream(next) << mSettings.dump();
  std::filesystem::rename(next, file);
}

void Vm::powerOn()
{
  mIsOn = true;
  start();
}

void Vm::retire()
{
  signal(SIGTERM);
  mIsOn = false;
}

void Vm::powerOff()
{
  mIsOn = false;
  mProgram.reset();
}

void Vm::start()
{
  mLog = mFolder / (mName + "." + std::to_string(++mStarts) + ".log");
  mRestartAt.reset();
  mIsSignalled = false;
  mProgram = std::make_unique<scenarios::Child>(
    std::vector<std::string>{ mProgramPath, mRole },
    mLog,
    std::map<std::string, std::string>{ { "CORNELCROSS_BOOT", mFolder / (mName + ".json") } });
}

bool Vm::hasFailedToBind() const
{
  std::ostringstream errors;
  errors << std::ifstream(mLog.string() + ".err").rdbuf();
  return errors.str().starts_with("error: cannot bind");
}

void Vm::signal(int aSignal)
{
  if (isRunning()) {
    mIsSignalled = mIsSignalled || aSignal == SIGTERM || aSignal == SIGKILL;
    mProgram->signal(aSignal);
  }
}

void Vm::onTick(base::Time aNow)
{
  if (!mIsOn || isRunning()) {
    return;
  }
  mHasUnexplainedEnd = mHasUnexplainedEnd || (!mRestartAt && !mIsSignalled);
  mRestartAt = mRestartAt.value_or(aNow + kRestartDelay);
  if (aNow >= *mRestartAt) {
    start();
  }
}

} // namespace cornelcross::soak
