#include "history/history.hpp"

#include <algorithm>
#include <fstream>

namespace cornelcross::history {

History::History(std::vector<Record> aRecords) : mRecords(std::move(aRecords))
{
  std::stable_sort(mRecords.begin(), mRecords.end(), [](const Record& aLeft, const Record& aRight) {
    return aLeft.mTime < aRight.mTime;
  });
  for (std::size_t i = 0; i < mRecords.size(); ++i) {
    mByEvent[mRecords[i].mEvent].push_back(i);
  }
  each("node", [this](const Record& aRecord) {
    mNodes[aRecord.field("name")] = { aRecord.field("role"),
                                      aRecord.field("zone"),
                                      aRecord.field("service") };
  });
}

History History::load(const std::filesystem::path& aFolder)
{
  std::vector<Record> records;
  for (const auto& entry : std::filesystem::directory_iterator(aFolder)) {
    if (entry.path().extension() != ".log") {
      continue;
    }
    std::ifstream file(entry.path());
    for (std::string line; std::getline(file, line);) {
      if (auto record = Record::parse(line)) {
        records.push_back(std::move(*record));
      }
    }
  }
  return History(std::move(records));
}

std::uint64_t History::acceptedAt(std::uint64_t aRevision) const
{
  std::uint64_t first = UINT64_MAX;
  each("config_applied", [&](const Record& aRecord) {
    if (aRecord.number("revision") >= aRevision) {
      first = std::min(first, aRecord.mTime);
    }
  });
  return first;
}

void History::each(const std::string& aEvent,
                   const std::function<void(const Record&)>& aVisit) const
{
  const auto found = mByEvent.find(aEvent);
  if (found == mByEvent.end()) {
    return;
  }
  for (const std::size_t index : found->second) {
    aVisit(mRecords[index]);
  }
}

} // namespace cornelcross::history
