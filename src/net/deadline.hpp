#pragma once

#include "base/time.hpp"

#include <gio/gio.h>

namespace cornelcross::net {

/// @brief Cancels the GLib operations that use it once its time is over, or when told to.
class Deadline
{
public:
  /// @param aTime from now; whole milliseconds
  explicit Deadline(base::Duration aTime);
  ~Deadline();
  Deadline(const Deadline&) = delete;
  Deadline& operator=(const Deadline&) = delete;

  /// @brief What the operations take; owned by this object.
  GCancellable* cancellable() const { return mCancellable; }

  /// @brief Cancels the operations now.
  void cancel() { g_cancellable_cancel(mCancellable); }

  /// @brief Stops the clock: the operations have ended.
  void stop();

private:
  static gboolean onTime(gpointer aSelf);

  GCancellable* mCancellable = g_cancellable_new();
  guint mTimer;
};

} // namespace cornelcross::net
