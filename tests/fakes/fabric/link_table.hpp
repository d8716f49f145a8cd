#pragma once

#include "fakes/fabric/link_quality.hpp"
#include "flow/endpoint.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>

namespace cornelcross::fakes {

/// @brief Quality and cuts of each one-way link between two processes, known by their addresses.
class LinkTable
{
public:
  explicit LinkTable(std::uint64_t aSeed) : mRandom(aSeed) {}

  /// @brief Quality of each link without one of its own.
  void setDefault(const LinkQuality& aQuality) { mDefault = aQuality; }

  /// @brief Quality of one link.
  void set(flow::Ipv4Address aFrom, flow::Ipv4Address aTo, const LinkQuality& aQuality);

  /// @brief Cuts a link until heal().
  void cut(flow::Ipv4Address aFrom, flow::Ipv4Address aTo) { mCut.insert({ aFrom, aTo }); }

  /// @brief Heals a link that was cut.
  void heal(flow::Ipv4Address aFrom, flow::Ipv4Address aTo) { mCut.erase({ aFrom, aTo }); }

  /// @brief The link loses track of every pair of endpoints that it carries now. A pair with a new
  /// source port works.
  void forget(flow::Ipv4Address aFrom, flow::Ipv4Address aTo);

  /// @brief Delays in milliseconds of the copies that arrive; none if the datagram is lost.
  std::vector<unsigned> carry(flow::Endpoint aFrom, flow::Endpoint aTo);

private:
  using Link = std::pair<flow::Ipv4Address, flow::Ipv4Address>;
  using Pair = std::pair<flow::Endpoint, flow::Endpoint>;

  bool happens(double aProbability);
  unsigned delayOf(const LinkQuality& aQuality);

  std::mt19937_64 mRandom;
  LinkQuality mDefault;
  std::map<Link, LinkQuality> mLinks;
  std::set<Link> mCut;
  std::set<Pair> mKnown;
  std::set<Pair> mForgotten;
};

} // namespace cornelcross::fakes
