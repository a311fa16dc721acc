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
/// Load balancing policies: choose the upstream for a call at the entry.
///
/// Input: the candidates with their load state, the indices already tried, the
/// time, and a source of random numbers. Output: the index of one candidate.
/// `Choose` is a pure function of these; it does no I/O and takes no lock.
///
/// - `kLeastCost`: lowest estimated cost (`UpstreamState::EstimateCost` plus
///   network distance) of the candidates that were sent a load query for this
///   call, else of `kSampleSize` random ones (power of d choices).
/// - `kRandomTwo`: lower reported number of calls in flight of two random ones
///   (power of two choices).
/// - `kLeastOutstanding`: fewest own calls in flight of all candidates.
/// - `kRandom`: a random candidate; `kRoundRobin`: all in turn.
///
/// Excluded and leaving upstreams are never chosen.
///
/// `kLeastOutstanding` takes time linear in the number of candidates. The time
/// of the others doesn't depend on it, unless most candidates are excluded or
/// leaving.

namespace yuccamast {

/// One upstream that a call may go to.
struct Candidate {
  std::shared_ptr<UpstreamState> state;  ///< Never null.
  Duration distance{};                   ///< Network round-trip time to it.
};

/// Network round-trip time to the candidate: the configured distance, or the
/// time that its exit takes to answer a load query if that is longer.
Duration NetworkDelay(const Candidate& candidate);

/// Source of uniformly distributed 64-bit random numbers.
using RandomHook = std::function<std::uint64_t()>;

/// Input of a choice besides the candidates.
struct ChoiceContext {
  TimePoint now;  ///< The time to estimate costs for.
  /// See `UpstreamState::EstimateCost` and `SamplePrior`.
  double prior_others_in_flight = 0;
  /// Position in the rotation, for `kRoundRobin`; to be increased by one with
  /// each call.
  std::uint64_t round_robin_turn = 0;
  EstimateOptions options;
  /// Indices of candidates that were sent a load query just now. While one of
  /// them is usable, `kLeastCost` chooses among these only: an estimate for
  /// others from old reports is far less accurate than a fresh report.
  std::span<const std::size_t> queried;
};

/// Number of candidates that `kLeastCost` and `SamplePrior` sample.
inline constexpr std::size_t kSampleSize = 4;

/// Returns the index of the chosen candidate, or nothing if every candidate is
/// leaving or in `excluded` (indices already tried by this call). Thread-safe
/// if `random` is.
std::optional<std::size_t> Choose(PolicyKind kind,
                                  std::span<const Candidate> candidates,
                                  std::span<const std::size_t> excluded,
                                  const ChoiceContext& context,
                                  const RandomHook& random);

/// Replaces a chosen upstream that limits its starts and has no room for one
/// that ends before `due` (`UpstreamState::StartWait`, plus distance and mean
/// service time) by another one that has: the first usable one from a random
/// index on, so that entries with the same reports spread. Returns nothing if
/// there is none: offers would then be in vain. A queue that an old report
/// tells of counts for nothing: the exit of a chosen upstream then decides, and
/// no other is tried for it. Linear in the number of candidates unless `chosen`
/// has room. Precondition: `chosen` is an index of `candidates`. Thread-safe if
/// `random` is.
std::optional<std::size_t> RequireStartRoom(
    std::size_t chosen,
    std::span<const Candidate> candidates,
    std::span<const std::size_t> excluded,
    TimePoint now,
    TimePoint due,
    const RandomHook& random);

/// Mean of `UpstreamState::OthersInFlight` over `kSampleSize` random
/// candidates, which may be the same ones; used as prior for upstreams with an
/// old report. 0 without candidates. Thread-safe if `random` is.
double SamplePrior(std::span<const Candidate> candidates,
                   const RandomHook& random);

}  // namespace yuccamast
