#include "yuccamast/balance/policy.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace yuccamast {

namespace {

/// Random draws for a usable candidate before a linear search for one.
constexpr int kMaxDrawAttempts = 4;

/// One cost estimate in this many ignores failures, so that a failing upstream
/// still receives a few calls by which its recovery is noticed.
constexpr std::uint64_t kRecoveryProbeInterval = 64;

/// Weight of the network delay against waiting and running. A call takes more
/// than one round trip, and its body and reply use the links twice, so another
/// data centre has to be better by more than the delay.
constexpr int kDelayWeight = 4;

/// One choice: implements the policies of `Choose`. References its arguments.
class Chooser {
 public:
  Chooser(std::span<const Candidate> candidates,
          std::span<const std::size_t> excluded,
          const ChoiceContext& context,
          const RandomHook& random)
      : m_candidates(candidates),
        m_excluded(excluded),
        m_context(context),
        m_random(random) {}

  /// The first usable candidate from the turn's position on.
  std::optional<std::size_t> RoundRobin() const {
    return FirstUsableFrom(m_context.round_robin_turn % m_candidates.size());
  }

  /// A random usable candidate.
  std::optional<std::size_t> Random() const { return Draw(); }

  /// The candidate with the lowest `cost` among up to `samples` distinct random
  /// ones.
  template <typename Cost>
  std::optional<std::size_t> BestOfSample(std::size_t samples,
                                          Cost cost) const {
    std::optional<std::size_t> best;
    auto best_cost = cost(std::size_t{0});
    std::array<std::size_t, kSampleSize> drawn{};
    std::size_t count = 0;
    for (std::size_t i = 0; i < samples; ++i) {
      const auto index = Draw(std::span(drawn.data(), count));
      if (!index) {
        break;
      }
      drawn.at(count++) = *index;
      const auto value = cost(*index);
      if (!best || value < best_cost) {
        best = index;
        best_cost = value;
      }
    }
    return best;
  }

  /// The candidate with the lowest `cost` of all; ties are broken by a random
  /// start index.
  template <typename Cost>
  std::optional<std::size_t> BestOfAll(Cost cost) const {
    std::vector<std::size_t> order(m_candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const std::size_t start = m_random() % order.size();
    std::rotate(order.begin(),
                order.begin() + static_cast<std::ptrdiff_t>(start),
                order.end());
    return BestAmong(order, cost);
  }

  /// The candidate with the lowest `cost` of the usable ones among `indices`;
  /// the first of equals.
  template <typename Cost>
  std::optional<std::size_t> BestAmong(std::span<const std::size_t> indices,
                                       Cost cost) const {
    std::optional<std::size_t> best;
    auto best_cost = cost(std::size_t{0});
    for (const std::size_t index : indices) {
      if (index >= m_candidates.size() || !IsUsable(index)) {
        continue;
      }
      const auto value = cost(index);
      if (!best || value < best_cost) {
        best = index;
        best_cost = value;
      }
    }
    return best;
  }

  /// Cost of a call to the candidate, for `kLeastCost`.
  Duration Cost(std::size_t index) const {
    const Candidate& candidate = m_candidates[index];
    EstimateOptions options = m_context.options;
    if (m_random() % kRecoveryProbeInterval == 0) {
      options.failure_penalty = Duration::zero();
    }
    return kDelayWeight * NetworkDelay(candidate) +
           candidate.state->EstimateCost(
               m_context.now, m_context.prior_others_in_flight, options);
  }

 private:
  /// Whether calls may be sent to it and it is not excluded.
  bool IsUsable(std::size_t index) const {
    return m_candidates[index].state->IsUsable(m_context.now) &&
           std::ranges::find(m_excluded, index) == m_excluded.end();
  }

  /// The first usable candidate from index `start` on, with wrap-around.
  std::optional<std::size_t> FirstUsableFrom(std::size_t start) const {
    for (std::size_t i = 0; i < m_candidates.size(); ++i) {
      const std::size_t index = (start + i) % m_candidates.size();
      if (IsUsable(index)) {
        return index;
      }
    }
    return std::nullopt;
  }

  /// A random usable candidate that is not in `drawn`. If a few draws find
  /// none: nothing if `drawn` has some already, else the result of a linear
  /// search.
  std::optional<std::size_t> Draw(
      std::span<const std::size_t> drawn = {}) const {
    for (int i = 0; i < kMaxDrawAttempts; ++i) {
      const std::size_t index = m_random() % m_candidates.size();
      if (IsUsable(index) && std::ranges::find(drawn, index) == drawn.end()) {
        return index;
      }
    }
    if (!drawn.empty()) {
      return std::nullopt;
    }
    return FirstUsableFrom(m_random() % m_candidates.size());
  }

  std::span<const Candidate> m_candidates;
  std::span<const std::size_t> m_excluded;
  const ChoiceContext& m_context;
  const RandomHook& m_random;
};

}  // namespace

Duration NetworkDelay(const Candidate& candidate) {
  return std::max(candidate.distance, candidate.state->query_round_trip());
}

std::optional<std::size_t> Choose(PolicyKind kind,
                                  std::span<const Candidate> candidates,
                                  std::span<const std::size_t> excluded,
                                  const ChoiceContext& context,
                                  const RandomHook& random) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  const Chooser chooser(candidates, excluded, context, random);
  switch (kind) {
    case PolicyKind::kRandom:
      return chooser.Random();
    case PolicyKind::kRoundRobin:
      return chooser.RoundRobin();
    case PolicyKind::kLeastOutstanding:
      return chooser.BestOfAll([&](std::size_t index) {
        return candidates[index].state->own_in_flight();
      });
    case PolicyKind::kRandomTwo:
      return chooser.BestOfSample(2, [&](std::size_t index) {
        return candidates[index].state->reported_in_flight();
      });
    case PolicyKind::kLeastCost:
      break;
  }
  const auto cost = [&](std::size_t index) { return chooser.Cost(index); };
  if (const auto queried = chooser.BestAmong(context.queried, cost)) {
    return queried;
  }
  return chooser.BestOfSample(kSampleSize, cost);
}

std::optional<std::size_t> RequireStartRoom(
    std::size_t chosen,
    std::span<const Candidate> candidates,
    std::span<const std::size_t> excluded,
    TimePoint now,
    TimePoint due,
    const RandomHook& random) {
  const auto has_room = [&](std::size_t index) {
    const Candidate& candidate = candidates[index];
    const Duration wait = candidate.state->StartWait(now);
    const std::chrono::microseconds service(candidate.state->service_us());
    return wait == Duration::zero() ||
           now + candidate.distance + wait + service < due;
  };
  const auto is_fresh = [&](std::size_t index) {
    return candidates[index].state->ReportAge(now) <=
           EstimateOptions{}.fresh_report_age;
  };
  if (has_room(chosen) || !is_fresh(chosen)) {
    return chosen;
  }
  const std::size_t start = random() % candidates.size();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::size_t index = (start + i) % candidates.size();
    if (candidates[index].state->IsUsable(now) &&
        std::ranges::find(excluded, index) == excluded.end() &&
        has_room(index) &&
        (is_fresh(index) ||
         candidates[index].state->StartWait(now) == Duration::zero())) {
      return index;
    }
  }
  return std::nullopt;
}

double SamplePrior(std::span<const Candidate> candidates,
                   const RandomHook& random) {
  if (candidates.empty()) {
    return 0;
  }
  double sum = 0;
  for (std::size_t i = 0; i < kSampleSize; ++i) {
    sum += candidates[random() % candidates.size()].state->OthersInFlight();
  }
  return sum / kSampleSize;
}

}  // namespace yuccamast
