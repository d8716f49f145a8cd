#include "scenarios/random/composer.hpp"

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

namespace cornelcross::scenarios {

namespace {

/// Steps that run in this order. Steps of other blocks may run in between.
using Block = std::deque<std::string>;

constexpr std::size_t kBlocksPerScript = 6;

// No two blocks use the same process, link or document, so that any selection can be interleaved.
const std::vector<Block>& blocks()
{
  static const std::vector<Block> kAll{
    { "kill balancer-1", "wait 1s", "start balancer-1" },
    { "freeze balancer-2", "wait 2s", "thaw balancer-2" },
    { "replace balancer-3" },
    { "set logbook-1 leaving", "wait 2s", "set logbook-1 serving" },
    { "set logbook-2 leaving", "wait 1s", "replace logbook-2-agent", "set logbook-2 serving" },
    { "kill logbook-3-agent", "start logbook-3-agent" },
    { "restart logbook-4 cold", "wait 2s" },
    { "freeze logbook-5-agent", "wait 1s", "thaw logbook-5-agent" },
    { "config down", "wait 2s", "config up" },
    { "config forget", "wait 1s" },
    { "spoil all loss 1% duplicate 2% jitter 10ms",
      "wait 2s",
      "spoil all loss 0% duplicate 0% jitter 0ms" },
    { "cut zone:a to zone:b", "wait 2s", "heal all" },
    { "zone c out", "wait 6s", "zone c in" },
    { "forget flows", "wait 1s" },
  };
  return kAll;
}

std::size_t randomIndex(std::mt19937_64& aRandom, std::size_t aCount)
{
  return static_cast<std::size_t>(aRandom() % aCount);
}

std::vector<Block> chooseBlocks(std::mt19937_64& aRandom)
{
  std::vector<Block> remaining = blocks();
  std::vector<Block> chosen;
  while (chosen.size() < kBlocksPerScript) {
    const auto position =
      remaining.begin() + static_cast<std::ptrdiff_t>(randomIndex(aRandom, remaining.size()));
    chosen.push_back(*position);
    remaining.erase(position);
  }
  return chosen;
}

std::string interleave(std::vector<Block> aBlocks, std::mt19937_64& aRandom)
{
  std::string text;
  while (!aBlocks.empty()) {
    const auto position =
      aBlocks.begin() + static_cast<std::ptrdiff_t>(randomIndex(aRandom, aBlocks.size()));
    text += position->front() + '\n';
    position->pop_front();
    if (position->empty()) {
      aBlocks.erase(position);
    }
  }
  return text;
}

} // namespace

std::string composeScript(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  return "zones a,b,c\n"
         "balancers 4\n"
         "service logbook upstreams 7 slots 7 cold 4s bears 2\n"
         "service certificates upstreams 3 slots 7\n"
         "start all\n"
         "load logbook reading 3/s for 14s\n"
         "load logbook save 10/s for 14s\n"
         "load certificates download 4/s for 14s\n"
         "wait 1s\n" +
         interleave(chooseBlocks(random), random) +
         "wait configuration within 5s\n"
         "wait load\n"
         "expect answered > 200\n"
         "expect incomplete = 0\n";
}

} // namespace cornelcross::scenarios
