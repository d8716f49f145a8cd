#pragma once

#include "net/http_client.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelcross::test {

/// @brief Stand-in for the platform's store: items, revisions, the history of changes and the count
/// of restores. Has no I/O; StoreServer serves a content over HTTP.
class StoreContent
{
public:
  /// @brief Writes an item that expires without its writer. @return the new revision
  std::uint64_t put(const std::string& aKey, const std::string& aValue)
  {
    return put(aKey, aValue, kLease);
  }

  /// @brief Writes an item that stays when its writer is gone. @return the new revision
  std::uint64_t putPermanent(const std::string& aKey, const std::string& aValue)
  {
    return put(aKey, aValue, 0);
  }

  /// @brief Removes an item. @return the new revision
  std::uint64_t remove(const std::string& aKey);

  /// @brief Returns to an earlier copy of this content and starts a new era.
  void restore(const StoreContent& aCopy);

  /// @brief Response to a GET of aPath, with its query. A watch responds at once.
  net::HttpClientResponse respond(const std::string& aPath) const;

  std::uint64_t revision() const { return mRevision; }

  /// @brief Value of an item; empty if there is none.
  std::optional<std::string> value(const std::string& aKey) const;

  /// @brief Keys of all items.
  std::vector<std::string> keys() const;

  std::optional<std::string> mEraHeader = "1"; ///< empty: responses lack the header
  std::size_t mPageSize = 500;                 ///< items per page of a list

private:
  static constexpr std::uint64_t kLease = 77120;

  struct Change
  {
    std::string mKey;
    std::uint64_t mRevision = 0;
    std::optional<std::string> mValue; ///< empty if the item was removed
    std::uint64_t mCreated = 0;        ///< revision at which the item was created
    std::uint64_t mLease = 0;          ///< 0 for none
  };

  std::uint64_t put(const std::string& aKey, const std::string& aValue, std::uint64_t aLease);

  std::uint64_t mRevision = 0;
  std::uint64_t mEra = 1;
  std::map<std::string, Change> mItems;
  std::vector<Change> mHistory;
};

} // namespace cornelcross::test
