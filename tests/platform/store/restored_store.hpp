#pragma once

#include "platform/store/items.hpp"
#include "platform/store/store_process.hpp"

namespace cornelcross::test {

using namespace std::chrono_literals;

/// @brief A store with a backend and a configuration of version 5, a copy of it, and a newer
/// configuration, with two processes that read it.
struct RestoredStore
{
  RestoredStore()
  {
    mStore.put("servers/x", makeBackend("log", "10.0.0.1:80"));
    mStore.put("op/config", makeConfig(5, "log"));
  }

  /// Takes the copy and changes the configuration twice.
  void changeAfterCopy()
  {
    mCopy = mStore;
    mStore.put("op/config", makeConfig(7, "cert"));
    mStore.put("op/config", makeConfig(10, "log"));
  }

  /// Returns to the copy; the operators write their newest configuration again.
  void restore()
  {
    mStore.restore(mCopy);
    mStore.put("op/config", makeConfig(10, "log"));
  }

  /// Reads in both processes, the second after the first, and lets each pull from the other.
  void readAll()
  {
    mProcess.read(mStore);
    mPeer.read(mStore);
    mProcess.pullFrom(mPeer);
    mPeer.pullFrom(mProcess);
  }

  /// Lets time pass, in which both processes watch the store.
  void pass(base::Duration aTime)
  {
    for (base::Duration passed{ 0 }; passed < aTime; passed += 500ms) {
      mNow += 500ms;
      mProcess.read(mStore, 3);
      mPeer.read(mStore, 3);
    }
  }

  /// Passes the time after which a recovery has ended: three heartbeats and a second.
  void endRecovery() { pass(4s); }

  base::Time mNow{ 100s };
  StoreContent mStore;
  StoreContent mCopy;
  StoreProcess mProcess{ mNow };
  StoreProcess mPeer{ mNow };
};

} // namespace cornelcross::test
