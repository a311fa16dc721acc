#include <criterion/criterion.h>

#include <array>
#include <random>

#include "yuccamast/balance/policy.h"
#include "yuccamast/balance/retry_budget.h"

using namespace yuccamast;  // NOLINT
using std::chrono::milliseconds;

namespace {

/// A service of `count` upstreams that have just reported to be idle.
struct Fixture {
  explicit Fixture(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      candidates.push_back(
          {std::make_shared<UpstreamState>(now, false), Duration::zero()});
      Report(i, 0);
    }
  }

  /// Passes a report of ten slots to the state of an upstream.
  void Report(std::size_t index, std::uint32_t running, bool leaving = false) {
    LoadReport report;
    report.running = running;
    report.limit = 10;
    report.service_us = 5000;
    report.leaving = leaving;
    candidates[index].state->OnReport(report, now);
  }

  /// Chooses an upstream; the turn advances with each choice.
  std::optional<std::size_t> Pick(
      PolicyKind kind = PolicyKind::kLeastCost,
      const std::vector<std::size_t>& excluded = {}) {
    ChoiceContext context;
    context.now = now;
    context.round_robin_turn = round_robin_turn++;
    return Choose(kind, candidates, excluded, context,
                  [this] { return random(); });
  }

  /// Share of `draws` choices with `kLeastCost` that select `index`.
  double Share(std::size_t index, int draws = 4000) {
    int hits = 0;
    for (int i = 0; i < draws; ++i) {
      hits += Pick() == index ? 1 : 0;
    }
    return static_cast<double>(hits) / draws;
  }

  TimePoint now{std::chrono::hours(1)};
  std::uint64_t round_robin_turn = 0;
  std::mt19937_64 random{7};
  std::vector<Candidate> candidates;
};

constexpr std::array<PolicyKind, 5> kAllPolicies = {
    PolicyKind::kLeastCost, PolicyKind::kRandom, PolicyKind::kRoundRobin,
    PolicyKind::kLeastOutstanding, PolicyKind::kRandomTwo};

}  // namespace

Test(policy, no_policy_chooses_an_excluded_or_leaving_upstream) {
  for (const PolicyKind kind : kAllPolicies) {
    Fixture fixture(4);
    fixture.Report(2, 0, true);
    for (int i = 0; i < 200; ++i) {
      const auto pick = fixture.Pick(kind, {0});
      cr_assert(pick == 1U || pick == 3U, "%s", NameOf(kind).data());
    }
    cr_expect_not(fixture.Pick(kind, {0, 1, 3}).has_value());
  }
}

Test(policy, chooses_nothing_without_candidates) {
  Fixture fixture(0);
  for (const PolicyKind kind : kAllPolicies) {
    cr_expect_not(fixture.Pick(kind).has_value());
  }
}

Test(policy, own_calls_count_before_a_report_includes_them) {
  // Otherwise an entry would send a burst of calls to the upstream that was
  // idle in the last report.
  Fixture fixture(3);
  for (int i = 0; i < 20; ++i) {
    fixture.candidates[0].state->OnSent(fixture.now);
  }
  cr_expect_lt(fixture.Share(0), 0.01);
}

Test(policy, an_old_report_decays_to_the_prior_and_not_to_idle) {
  // Otherwise an upstream without a report for long would attract calls.
  Fixture fixture(1);
  UpstreamState& state = *fixture.candidates[0].state;
  fixture.Report(0, 9);
  const EstimateOptions options;
  const Duration fresh = state.EstimateCost(fixture.now, 5.0, options);
  const Duration old =
      state.EstimateCost(fixture.now + std::chrono::seconds(10), 5.0, options);
  fixture.Report(0, 0);
  const Duration idle = state.EstimateCost(fixture.now, 5.0, options);
  cr_expect_lt(old.count(), fresh.count());
  cr_expect_gt(old.count(), idle.count());
}

Test(policy, a_failing_upstream_receives_only_a_few_calls) {
  // Guards against a failing upstream that attracts calls because it answers
  // fast, and against one that is never tried again.
  Fixture fixture(5);
  for (int i = 0; i < 3; ++i) {
    fixture.candidates[2].state->OnSent(fixture.now);
    fixture.candidates[2].state->OnEnd(AttemptEnd::kFailed, milliseconds(0),
                                       fixture.now, {});
  }
  const double share = fixture.Share(2);
  cr_expect_lt(share, 0.02);
  cr_expect_gt(share, 0.0);
  fixture.now += std::chrono::seconds(60);
  for (std::size_t i = 0; i < 5; ++i) {
    fixture.Report(i, 0);
  }
  cr_expect_gt(fixture.Share(2), 0.1);
}

Test(policy, load_is_spread_when_all_upstreams_fail) {
  // Penalties that are all equal must not leave an upstream without calls.
  Fixture fixture(4);
  for (const Candidate& candidate : fixture.candidates) {
    for (int i = 0; i < 5; ++i) {
      candidate.state->OnSent(fixture.now);
      candidate.state->OnEnd(AttemptEnd::kFailed, milliseconds(1), fixture.now,
                             {});
    }
  }
  for (std::size_t i = 0; i < 4; ++i) {
    cr_expect_gt(fixture.Share(i), 0.1);
  }
}

Test(policy, a_stalled_call_raises_the_cost_before_it_ends) {
  // The reported mean service time rises only after a stalled call has ended.
  Fixture fixture(3);
  fixture.candidates[1].state->OnSent(fixture.now);
  fixture.now += milliseconds(40);  // The mean service time is 5 ms.
  cr_expect_lt(fixture.Share(1), 0.02);
}

Test(policy, a_cold_upstream_receives_few_calls_at_first) {
  Fixture fixture(3);
  fixture.candidates[0].state =
      std::make_shared<UpstreamState>(fixture.now, true);
  fixture.Report(0, 0);
  cr_expect_lt(fixture.Share(0), 0.02);
  fixture.now += std::chrono::seconds(4);
  for (std::size_t i = 0; i < 3; ++i) {
    fixture.Report(i, 0);
  }
  cr_expect_gt(fixture.Share(0), 0.2);
}

Test(policy, cost_adds_network_distance_and_queueing) {
  Fixture fixture(2);
  fixture.candidates[1].distance = milliseconds(3);
  cr_expect_gt(fixture.Share(0), 0.95);
  fixture.Report(0, 25);
  cr_expect_lt(fixture.Share(0), 0.05);
}

Test(policy, entries_with_the_same_report_do_not_herd) {
  // If each entry chose the single idle upstream, it would be overloaded before
  // its next report.
  Fixture fixture(10);
  for (std::size_t i = 0; i < 10; ++i) {
    fixture.Report(i, i == 4 ? 0 : 3);
  }
  cr_expect_lt(fixture.Share(4), 0.45);
}

Test(retries, are_limited_to_share_and_cap) {
  // Guards against retries that multiply the load: each call asks for two.
  RetryBudget budget;
  int retries = 0;
  constexpr int kFirst = 10'000;
  for (int i = 0; i < kFirst; ++i) {
    budget.OnFirstAttempt(0.1);
    retries += budget.TryTakeToken() ? 1 : 0;
    retries += budget.TryTakeToken() ? 1 : 0;
  }
  cr_expect_leq(retries, static_cast<int>(kFirst * 0.1 + RetryBudget::kCap));
  cr_expect_gt(retries, 900);
}

Test(balance, long_calls_avoid_a_slow_vm_even_if_others_are_busy) {
  // The idle upstream runs at a quarter of its speed for another 250 ms, so a
  // call would end later there than beside six others.
  Fixture fixture(3);
  for (std::size_t i = 0; i < 3; ++i) {
    LoadReport report;
    report.limit = 7;
    report.service_us = 190'000;
    report.running = i == 0 ? 0 : 6;
    report.slowness = i == 0 ? 400 : 100;
    report.slow_remaining_us = i == 0 ? 250'000 : 0;
    fixture.candidates[i].state->OnReport(report, fixture.now);
  }
  cr_expect_lt(fixture.Share(0, 400), 0.05);
}

Test(balance, chooses_among_queried_upstreams_while_one_is_usable) {
  // Among many upstreams a random sample would rarely contain the queried ones,
  // and the choice would rely on old reports of the others.
  Fixture fixture(33);
  const std::vector<std::size_t> queried = {3, 30};
  fixture.Report(3, 9);
  fixture.Report(30, 2);
  ChoiceContext context;
  context.now = fixture.now;
  context.queried = queried;
  const RandomHook random = [&] { return fixture.random(); };
  const std::vector<std::size_t> tried = {30};
  for (int i = 0; i < 50; ++i) {
    cr_expect_eq(*Choose(PolicyKind::kLeastCost, fixture.candidates, {},
                         context, random),
                 30U);
    cr_expect_eq(*Choose(PolicyKind::kLeastCost, fixture.candidates, tried,
                         context, random),
                 3U);
  }
  const std::vector<std::size_t> both = {3, 30};
  cr_expect(
      Choose(PolicyKind::kLeastCost, fixture.candidates, both, context, random)
          .has_value());
}

Test(balance, has_spare_slot_needs_a_fresh_report_and_normal_speed) {
  Fixture fixture(1);
  UpstreamState& state = *fixture.candidates[0].state;
  const auto has_spare_slot = [&](std::uint32_t running, std::uint32_t slowness,
                                  int age_ms) {
    LoadReport report;
    report.limit = 7;
    report.running = running;
    report.slowness = slowness;
    state.OnReport(report, fixture.now);
    return state.HasSpareSlot(fixture.now + milliseconds(age_ms), {});
  };
  cr_expect(has_spare_slot(5, 100, 5));
  cr_expect_not(has_spare_slot(6, 100, 5));
  cr_expect_not(has_spare_slot(0, 400, 5));
  cr_expect_not(has_spare_slot(0, 100, 50));
}

namespace {

/// A report of an exit that limits its starts to 20 a second.
LoadReport LimitedReport(std::uint32_t starts_left, milliseconds wait) {
  LoadReport report;
  report.limit = 10;
  report.service_us = 5000;
  report.wait_us = static_cast<std::uint32_t>(wait.count() * 1000);
  report.cold_left_us = 3'000'000;
  report.starts_per_ks = 20'000;
  report.starts_left = starts_left;
  return report;
}

}  // namespace

// Load: part of a service is cold. Guards against a herd to the cold upstreams,
// whose calls run as fast by their reports, and against not using them at all
// when the warm ones are full.
Test(cold_choice, warm_upstreams_are_preferred_while_they_have_room) {
  Fixture fixture(2);
  fixture.candidates[0].state->OnReport(LimitedReport(5, milliseconds(0)),
                                        fixture.now);
  cr_expect_lt(fixture.Share(0), 0.05);
  fixture.Report(1, 25);
  cr_expect_gt(fixture.Share(0), 0.9);
}

// Load: a burst within the life of one report. Guards against an entry that
// sends more to a cold upstream than the starts that it has left.
Test(cold_choice, own_sends_since_the_report_use_up_the_starts_left) {
  Fixture fixture(1);
  UpstreamState& state = *fixture.candidates[0].state;
  state.OnReport(LimitedReport(3, milliseconds(0)), fixture.now);
  for (int i = 0; i < 3; ++i) {
    cr_expect(state.StartWait(fixture.now) == Duration(), "send %d", i);
    state.OnSent(fixture.now);
  }
  cr_expect(state.StartWait(fixture.now) == milliseconds(50));
  cr_expect(state.StartWait(fixture.now + milliseconds(50)) == Duration());
}

// Load: a whole data centre is cold and more calls come than it bears. Guards
// against offers that must be in vain, and against all entries moving to the
// same upstream that has room.
Test(cold_choice, a_call_without_room_anywhere_is_refused_at_once) {
  Fixture fixture(6);
  for (const Candidate& candidate : fixture.candidates) {
    candidate.state->OnReport(LimitedReport(0, milliseconds(900)), fixture.now);
  }
  const auto require_room = [&](milliseconds left) {
    return RequireStartRoom(0, fixture.candidates, {}, fixture.now,
                            fixture.now + left,
                            [&] { return fixture.random(); });
  };
  cr_expect_not(require_room(milliseconds(800)).has_value());
  cr_expect(require_room(milliseconds(1000)) == std::size_t{0});
  std::array<int, 6> hits{};
  for (const std::size_t roomy : {2, 4}) {
    fixture.candidates[roomy].state->OnReport(LimitedReport(9, milliseconds(0)),
                                              fixture.now);
  }
  fixture.candidates[5].state->OnReport(LimitedReport(9, milliseconds(0)),
                                        fixture.now);
  fixture.candidates[5].state->SetEvacuated(true);
  for (int i = 0; i < 100; ++i) {
    ++hits.at(require_room(milliseconds(800)).value());
  }
  cr_expect_eq(hits[2] + hits[4], 100);
  cr_expect(hits[2] > 20 && hits[4] > 20, "%d and %d", hits[2], hits[4]);
}

// Failure: nodes of two versions. An older exit sends a shorter report, an
// older entry gets a longer one.
Test(cold_choice, reports_of_other_versions_are_read) {
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, std::make_tuple(7, 1, 2, 3, 4, 5, false, 6, 110, 8));
  LoadReport report;
  msgpack::unpack(bytes.data(), bytes.size()).get().convert(report);
  cr_expect_eq(report.slow_remaining_us, 8U);
  cr_expect_eq(report.starts_per_ks, 0U);
  bytes.clear();
  msgpack::pack(bytes,
                std::make_tuple(7, 1, 2, 3, 4, 5, false, 6, 110, 8, 9, 10, 11,
                                std::vector<int>{12}, false, 13, 14));
  msgpack::unpack(bytes.data(), bytes.size()).get().convert(report);
  cr_expect_eq(report.starts_left, 11U);
  cr_expect_eq(report.rank_wait_us, std::vector<std::uint32_t>{12});
  cr_expect_not(report.takes_late);
}
