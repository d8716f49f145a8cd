#pragma once

#include "base/time.hpp"

#include <gio/gio.h>

namespace cornelcross::net {

/// @brief Cancels the GLib operations that use its cancellable after a timeout or on cancel().
class Deadline
{
public:
  /// @param aTimeout time until the operations are cancelled; whole milliseconds
  explicit Deadline(base::Duration aTimeout);
  ~Deadline();
  Deadline(const Deadline&) = delete;
  Deadline& operator=(const Deadline&) = delete;

  /// @brief The cancellable to pass to the operations; owned by this object.
  GCancellable* cancellable() const { return mCancellable; }

  /// @brief Cancels the operations now.
  void cancel() { g_cancellable_cancel(mCancellable); }

  /// @brief Stops the timer; to be called when the operations have ended.
  void stop();

private:
  static gboolean onTimeout(gpointer aSelf);

  GCancellable* mCancellable = g_cancellable_new();
  guint mTimer;
};

} // namespace cornelcross::net
