#include "net/deadline.hpp"

namespace cornelcross::net {

Deadline::Deadline(base::Duration aTimeout)
  : mTimer(g_timeout_add(
      static_cast<guint>(std::chrono::duration_cast<std::chrono::milliseconds>(aTimeout).count()),
      &Deadline::onTimeout,
      this))
{
}

Deadline::~Deadline()
{
  stop();
  g_object_unref(mCancellable);
}

void Deadline::stop()
{
  if (mTimer != 0) {
    g_source_remove(mTimer);
    mTimer = 0;
  }
}

gboolean Deadline::onTimeout(gpointer aSelf)
{
  auto* self = static_cast<Deadline*>(aSelf);
  self->mTimer = 0;
  self->cancel();
  return G_SOURCE_REMOVE;
}

} // namespace cornelcross::net
