#pragma once

#include "base/time.hpp"

#include <functional>
#include <glib.h>
#include <memory>

/// @brief Sockets, timers and HTTP on GLib. Transfers bytes; decisions are made elsewhere.
namespace cornelcross::net {

/// @brief Main loop of a process, with timers and signals. Not thread-safe: all calls must come
/// from one thread.
class MainLoop
{
public:
  MainLoop();
  ~MainLoop();
  MainLoop(const MainLoop&) = delete;
  MainLoop& operator=(const MainLoop&) = delete;

  /// @brief Blocks the signals that a loop handles, until run(): one that arrives while the process
  /// starts waits for its handler. Called first in main().
  static void holdSignals();

  /// @brief Runs until quit().
  void run();

  /// @brief Ends run() after the current callback.
  void quit();

  /// @brief Calls aCallback every aInterval (whole milliseconds) while the loop runs.
  void every(base::Duration aInterval, std::function<void()> aCallback);

  /// @brief Calls aCallback once after aDelay (whole milliseconds).
  void after(base::Duration aDelay, std::function<void()> aCallback);

  /// @brief Calls aCallback on each SIGTERM or SIGINT.
  void onTerminate(const std::function<void()>& aCallback);

  /// @brief Calls aCallback on each SIGHUP.
  void onHangup(const std::function<void()>& aCallback);

  /// @brief Current monotonic time, which advances while the machine is suspended.
  static base::Time now();

private:
  GMainLoop* mLoop;
};

} // namespace cornelcross::net
