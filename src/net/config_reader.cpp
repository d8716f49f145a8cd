#include "net/config_reader.hpp"

namespace cornelcross::net {

ConfigReader::ConfigReader(flow::Endpoint aService,
                           const telemetry::EventLog& aLog,
                           Listener aListener)
  : mLog(aLog)
  , mListener(std::move(aListener))
  , mWatch(
      aService,
      [this] { return mStore.revision(); },
      [this](const auto& aAnswer) { onAnswer(aAnswer); })
{
}

void ConfigReader::onAnswer(const std::variant<DocumentBatch, WatchFailure>& aAnswer)
{
  using telemetry::EventKind;
  if (const auto* failure = std::get_if<WatchFailure>(&aAnswer)) {
    mLog.write({ EventKind::kConfigUnavailable, { { "reason", failure->mReason } } });
    return;
  }
  const auto& batch = std::get<DocumentBatch>(aAnswer);
  const std::uint64_t before = mStore.revision();
  for (const auto& error : mStore.merge(batch.mRevision, batch.mDocuments)) {
    mLog.write(
      { EventKind::kConfigRejected,
        { { "revision", std::to_string(batch.mRevision) }, { "error", error.toString() } } });
  }
  if (mStore.revision() > before) {
    mLog.write(
      { EventKind::kConfigApplied, { { "revision", std::to_string(mStore.revision()) } } });
    mListener(mStore.configuration());
  }
}

} // namespace cornelcross::net
