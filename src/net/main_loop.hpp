#pragma once

#include "base/time.hpp"

#include <functional>
#include <glib.h>
#include <memory>

/// @brief Sockets, timers and HTTP on GLib. Carries bytes; decides nothing.
namespace cornelcross::net {

/// @brief A task's main loop with timers and signals. All calls come from one thread.
class MainLoop
{
public:
  MainLoop();
  ~MainLoop();
  MainLoop(const MainLoop&) = delete;
  MainLoop& operator=(const MainLoop&) = delete;

  /// @brief Runs until quit().
  void run();

  /// @brief Ends run() after the current callback.
  void quit();

  /// @brief Calls aCallback every aInterval (whole milliseconds) for as long as the loop lives.
  void every(base::Duration aInterval, std::function<void()> aCallback);

  /// @brief Calls aCallback once after aDelay (whole milliseconds).
  void after(base::Duration aDelay, std::function<void()> aCallback);

  /// @brief Calls aCallback on each SIGTERM or SIGINT.
  void onTerminate(const std::function<void()>& aCallback);

  /// @brief Calls aCallback on each SIGHUP.
  void onHangup(const std::function<void()>& aCallback);

  /// @brief Monotonic time now.
  static base::Time now();

private:
  GMainLoop* mLoop;
};

} // namespace cornelcross::net
