#pragma once

#include <chrono>
#include <string>
#include <vector>

/// @brief The scenario language: one step per line. A step is matched against a list of patterns.
namespace cornelcross::scenarios {

/// @brief Words of a step that match the placeholders of its pattern, in order. The accessors throw
/// std::out_of_range for an index beyond the last word.
class Arguments
{
public:
  /// @brief Appends a word.
  void add(std::string aWord) { mWords.push_back(std::move(aWord)); }

  /// @brief Returns a word unchanged.
  const std::string& text(std::size_t aIndex) const { return mWords.at(aIndex); }

  /// @brief Parses a word as an unsigned integer.
  unsigned count(std::size_t aIndex) const;

  /// @brief Parses a duration such as "250ms" or "5s".
  std::chrono::milliseconds duration(std::size_t aIndex) const;

  /// @brief Parses a percentage; "5%" returns 0.05.
  double share(std::size_t aIndex) const;

  /// @brief Parses a rate in events per second; "20/s" returns 20.
  unsigned rate(std::size_t aIndex) const;

private:
  std::vector<std::string> mWords;
};

} // namespace cornelcross::scenarios
