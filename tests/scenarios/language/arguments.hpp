#pragma once

#include <chrono>
#include <string>
#include <vector>

/// @brief The test language: one step a line, each line matched against a list of patterns.
namespace cornelcross::scenarios {

/// @brief Words of a step that stand where its pattern has placeholders, in their order.
class Arguments
{
public:
  /// @brief Adds the next word.
  void add(std::string aWord) { mWords.push_back(std::move(aWord)); }

  /// @brief Word as it is written. @throws std::out_of_range
  const std::string& text(std::size_t aIndex) const { return mWords.at(aIndex); }

  /// @brief Whole number.
  unsigned count(std::size_t aIndex) const;

  /// @brief "250ms" or "5s".
  std::chrono::milliseconds duration(std::size_t aIndex) const;

  /// @brief "5%" as a share between 0 and 1.
  double share(std::size_t aIndex) const;

  /// @brief "20/s" as events a second.
  unsigned rate(std::size_t aIndex) const;

private:
  std::vector<std::string> mWords;
};

} // namespace cornelcross::scenarios
