#include "scenarios/language/arguments.hpp"

namespace cornelcross::scenarios {

unsigned Arguments::count(std::size_t aIndex) const
{
  return static_cast<unsigned>(std::stoul(text(aIndex)));
}

std::chrono::milliseconds Arguments::duration(std::size_t aIndex) const
{
  std::size_t unit = 0;
  const unsigned long value = std::stoul(text(aIndex), &unit);
  return std::chrono::milliseconds(text(aIndex).substr(unit) == "s" ? value * 1000 : value);
}

double Arguments::share(std::size_t aIndex) const
{
  return std::stod(text(aIndex)) / 100;
}

unsigned Arguments::rate(std::size_t aIndex) const
{
  return count(aIndex);
}

} // namespace cornelcross::scenarios
