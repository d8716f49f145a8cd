#include "net/main_loop.hpp"

#include <csignal>
#include <ctime>
#include <glib-unix.h>

namespace cornelcross::net {

namespace {

using Callback = std::function<void()>;

gboolean callAndKeep(gpointer aData)
{
  (*static_cast<Callback*>(aData))();
  return G_SOURCE_CONTINUE;
}

gboolean callOnce(gpointer aData)
{
  (*static_cast<Callback*>(aData))();
  return G_SOURCE_REMOVE;
}

// Threads inherit the mask of the thread that starts them.
void maskSignals(int aHow)
{
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : { SIGTERM, SIGINT, SIGHUP }) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(aHow, &signals, nullptr);
}

void destroyCallback(gpointer aData)
{
  delete static_cast<Callback*>(aData);
}

guint toMilliseconds(base::Duration aDuration)
{
  return static_cast<guint>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

} // namespace

MainLoop::MainLoop() : mLoop(g_main_loop_new(nullptr, FALSE)) {}

MainLoop::~MainLoop()
{
  g_main_loop_unref(mLoop);
}

void MainLoop::holdSignals()
{
  maskSignals(SIG_BLOCK);
}

void MainLoop::run()
{
  maskSignals(SIG_UNBLOCK);
  g_main_loop_run(mLoop);
}

void MainLoop::quit()
{
  g_main_loop_quit(mLoop);
}

void MainLoop::every(base::Duration aInterval, std::function<void()> aCallback)
{
  g_timeout_add_full(G_PRIORITY_DEFAULT,
                     toMilliseconds(aInterval),
                     &callAndKeep,
                     new Callback(std::move(aCallback)),
                     &destroyCallback);
}

void MainLoop::after(base::Duration aDelay, std::function<void()> aCallback)
{
  g_timeout_add_full(G_PRIORITY_DEFAULT,
                     toMilliseconds(aDelay),
                     &callOnce,
                     new Callback(std::move(aCallback)),
                     &destroyCallback);
}

void MainLoop::onTerminate(const std::function<void()>& aCallback)
{
  for (const int signal : { SIGTERM, SIGINT }) {
    g_unix_signal_add_full(
      G_PRIORITY_HIGH, signal, &callAndKeep, new Callback(aCallback), &destroyCallback);
  }
}

void MainLoop::onHangup(const std::function<void()>& aCallback)
{
  g_unix_signal_add_full(
    G_PRIORITY_HIGH, SIGHUP, &callAndKeep, new Callback(aCallback), &destroyCallback);
}

base::Time MainLoop::now()
{
  // CLOCK_BOOTTIME, unlike the steady clock, advances while the machine is suspended. A suspension
  // thus counts as elapsed time, as any other pause of the process does.
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return base::Time(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace cornelcross::net
