#pragma once

#include "bench/policy/policy.hpp"

namespace cornelcross::bench {

/// @brief Rank 1 of the eligible upstreams, whatever its load.
class FirstRank : public Policy
{
public:
  using Policy::Policy;
  void open(const FlowPtr& aFlow) override;
};

/// @brief The less loaded one of the first two ranks, by reports (Mitzenmacher, 2001).
class LeastOfTwo : public Policy
{
public:
  LeastOfTwo(Service& aService, const ReportChannel& aChannel);
  void open(const FlowPtr& aFlow) override;

private:
  void report();

  ReportChannel mChannel;
  std::vector<std::uint32_t> mReported;
};

/// @brief A lookup table over the eligible upstreams (Eisenbud et al., "Maglev", 2016).
class LookupTable : public Policy
{
public:
  explicit LookupTable(Service& aService);
  void open(const FlowPtr& aFlow) override;
  void reconfigured() override;

private:
  std::vector<std::size_t> mTable;
};

} // namespace cornelcross::bench
