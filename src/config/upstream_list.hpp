#pragma once

#include "config/upstream.hpp"

#include <memory>
#include <vector>

namespace cornelcross::config {

/// @brief Copy-on-write list of the upstreams of one service. A configuration that differs from
/// another in one service shares the upstreams of all other services.
class UpstreamList
{
public:
  using const_iterator = std::vector<Upstream>::const_iterator;
  using value_type = Upstream;

  const_iterator begin() const { return mElements->begin(); }
  const_iterator end() const { return mElements->end(); }
  std::size_t size() const { return mElements->size(); }
  bool empty() const { return mElements->empty(); }
  const Upstream& operator[](std::size_t aIndex) const { return (*mElements)[aIndex]; }
  const Upstream& front() const { return mElements->front(); }
  const Upstream& back() const { return mElements->back(); }

  /// @brief Mutable element. @note O(n) if the elements are shared
  Upstream& operator[](std::size_t aIndex) { return mutableElements()[aIndex]; }

  // Names of the standard containers.
  // NOLINTBEGIN(readability-identifier-naming)

  /// @brief Appends an element. @note O(n) if the elements are shared
  void push_back(Upstream aUpstream) { mutableElements().push_back(std::move(aUpstream)); }

  /// @brief Removes the elements in [aFirst, aLast). @note O(n)
  void erase(const_iterator aFirst, const_iterator aLast)
  {
    const auto first = aFirst - begin();
    const auto last = aLast - begin();
    auto& elements = mutableElements();
    elements.erase(elements.begin() + first, elements.begin() + last);
  }

  /// @brief Removes the last element. @note O(n) if the elements are shared
  void pop_back() { mutableElements().pop_back(); }

  // NOLINTEND(readability-identifier-naming)

  /// @brief True if both lists refer to the same elements in memory. @note O(1)
  bool sharesElementsWith(const UpstreamList& aOther) const
  {
    return mElements == aOther.mElements;
  }

  bool operator==(const UpstreamList& aOther) const
  {
    return sharesElementsWith(aOther) || *mElements == *aOther.mElements;
  }

  auto operator<=>(const UpstreamList& aOther) const { return *mElements <=> *aOther.mElements; }

private:
  std::vector<Upstream>& mutableElements()
  {
    if (mElements.use_count() != 1) {
      mElements = std::make_shared<std::vector<Upstream>>(*mElements);
    }
    return *mElements;
  }

  std::shared_ptr<std::vector<Upstream>> mElements = std::make_shared<std::vector<Upstream>>();
};

} // namespace cornelcross::config
