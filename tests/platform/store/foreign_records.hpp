#pragma once

#include "platform/store/items.hpp"
#include "platform/store/store_process.hpp"

#include <boost/test/unit_test.hpp>

namespace cornelcross::test {

using namespace std::chrono_literals;

using Names = std::set<std::string>;

/// @brief A store with three backends of two services, and two processes that read it from its
/// bytes to the accepted documents: one lists it with each read, the other one watches it.
struct ForeignRecords
{
  ForeignRecords()
  {
    mStore.put("op/config", makeConfig(5, "log"));
    mStore.put("servers/x", makeBackend("log", "10.0.0.1:80"));
    mStore.put("servers/y", makeBackend("log", "10.0.0.2:80"));
    mStore.put("servers/z", makeBackend("cert", "10.0.0.3:80"));
    pass(4s);
  }

  void read()
  {
    BOOST_TEST(mLister.read(mStore), mLister.mFailure);
    BOOST_TEST(mWatcher.read(mStore, 3), mWatcher.mFailure);
  }

  void pass(base::Duration aTime)
  {
    for (base::Duration passed{ 0 }; passed < aTime; passed += 500ms) {
      mNow += 500ms;
      read();
    }
  }

  bool hasUpstreams(const Names& aLog, const Names& aCert) const
  {
    return mLister.upstreams("log") == aLog && mWatcher.upstreams("log") == aLog &&
           mLister.upstreams("cert") == aCert && mWatcher.upstreams("cert") == aCert;
  }

  /// True if every backend is listed and a backend that drains is followed.
  bool areBackendsFollowed()
  {
    read();
    const bool areListed = hasUpstreams({ "x serving", "y serving" }, { "z serving" });
    mStore.put("servers/y", makeBackend("log", "10.0.0.2:80", "draining"));
    mStore.put("servers/w", makeBackend("cert", "10.0.0.4:80"));
    read();
    return areListed && hasUpstreams({ "x serving", "y leaving" }, { "z serving", "w serving" });
  }

  /// Reports of the watching process about records that are not used.
  std::size_t rejections() const
  {
    return static_cast<std::size_t>(
      std::count_if(mWatcher.mEvents.begin(), mWatcher.mEvents.end(), [](const auto& aEvent) {
        return aEvent.mKind == telemetry::EventKind::kConfigRejected;
      }));
  }

  base::Time mNow{ 100s };
  StoreContent mStore;
  StoreProcess mLister{ mNow };
  StoreProcess mWatcher{ mNow };
};

} // namespace cornelcross::test
