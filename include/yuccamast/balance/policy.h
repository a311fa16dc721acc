#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "yuccamast/balance/upstream_state.h"
#include "yuccamast/clock.h"
#include "yuccamast/config/configuration.h"

/// \file policy.h
/// Chooses the upstream for a call at the entry.
///
/// `Choose` is pure: given the candidates, the time and a source of random
/// numbers it always gives the same answer, does no I/O and takes no lock. Its
/// cost does not depend on the number of candidates for the policies that
/// sample (`kLeastCost`, `kRandomTwo`, `kRandom`, `kRoundRobin`).

namespace yuccamast {

/// One upstream that a call may go to.
struct Candidate {
  std::shared_ptr<UpstreamState> state;
  Duration distance{};  ///< Round trip that a choice of it adds.
};

/// A source of random 64-bit numbers.
using RandomHook = std::function<std::uint64_t()>;

/// What a choice may draw on besides the candidates.
struct ChoiceContext {
  TimePoint now;
  double prior_others_in_flight = 0;  ///< See UpstreamState::EstimateCost.
  std::uint64_t round_robin_turn =
      0;  ///< Grows by one with each call, for round robin.
  EstimateOptions options;
  /// Indices of candidates that were queried for their load just now. If one of
  /// them is usable, `kLeastCost` chooses among these only: a guess about
  /// others is no match for what was just heard.
  std::span<const std::size_t> queried;
};

/// Number of candidates that a sampling policy compares.
inline constexpr std::size_t kSampleSize = 4;

/// Index of the chosen candidate, or nothing if every candidate is leaving or
/// in `excluded` (indices already tried by this call). Thread-safe if `random`
/// is.
std::optional<std::size_t> Choose(PolicyKind kind,
                                  std::span<const Candidate> candidates,
                                  std::span<const std::size_t> excluded,
                                  const ChoiceContext& context,
                                  const RandomHook& random);

/// Mean of `ReportedOthers` over a few sampled candidates; the prior for
/// upstreams with an old report.
double SamplePrior(std::span<const Candidate> candidates,
                   const RandomHook& random);

}  // namespace yuccamast
