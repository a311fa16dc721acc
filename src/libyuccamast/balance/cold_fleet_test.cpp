#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <vector>

#include "yuccamast/admission/admission.h"
#include "yuccamast/balance/policy.h"

using namespace yuccamast;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr double kLimit = 19;
constexpr milliseconds kService{100};
constexpr milliseconds kDeadline{600};

/// Eight exits of ten slots, of which the first are cold, and four entries.
/// Each call chooses among four random exits, the reports of which are fresh.
struct ColdFleet {
  explicit ColdFleet(std::size_t cold) : exits(8, Admission{{}}), starts(8) {
    for (std::size_t i = 0; i < cold; ++i) {
      exits[i].cold_starts().SetLimit(kLimit);
      exits[i].cold_starts().OnCold(now + std::chrono::hours(1));
      exits[i].SetRateLimit(kLimit, now);
    }
    for (auto& candidates : entries) {
      for (std::size_t i = 0; i < exits.size(); ++i) {
        candidates.push_back({std::make_shared<UpstreamState>(now, false), {}});
      }
    }
  }

  LoadReport ReportOf(const Admission& exit) const {
    LoadReport report;
    report.running = exit.running();
    report.queued = exit.queued();
    report.limit = exit.limits().slots;
    report.service_us = kService.count() * 1000;
    report.wait_us = exit.ExpectedWait(now) / std::chrono::microseconds(1);
    if (exit.rate_limit() > 0) {
      report.cold_left_us = 3'000'000;
      report.starts_per_ks = static_cast<std::uint32_t>(kLimit * 1000);
      report.starts_left = exit.StartsLeft(now);
    }
    return report;
  }

  void Start(std::size_t exit, CallTicket ticket) {
    exits[exit].OnSent(ticket, now);
    starts[exit].push_back(now);
    running.push_back({now + kService, exit, ticket});
  }

  void Call() {
    auto& candidates = entries[random() % entries.size()];
    const RandomHook draw = [this] { return random(); };
    std::vector<std::size_t> queried(4);
    std::ranges::generate(queried, [&] { return draw() % exits.size(); });
    for (const std::size_t index : queried) {
      candidates[index].state->OnReport(ReportOf(exits[index]), now);
    }
    ChoiceContext context;
    context.now = now;
    context.queried = queried;
    const auto chosen =
        Choose(PolicyKind::kLeastCost, candidates, {}, context, draw);
    const auto exit = RequireStartRoom(chosen.value(), candidates, {}, now,
                                       now + kDeadline, draw);
    ++calls;
    if (!exit) {
      ++refused_by_entry;
      return;
    }
    AdmissionRequest request;
    request.ticket = calls;
    request.deadline = now + kDeadline;
    request.objective = request.deadline;
    request.expected_service = kService;
    const auto decision = exits[*exit].Offer(request, now);
    if (decision.verdict == AdmissionVerdict::kStart) {
      Start(*exit, request.ticket);
    }
    refused_by_exit += decision.verdict == AdmissionVerdict::kRefused ? 1 : 0;
    candidates[*exit].state->OnReport(ReportOf(exits[*exit]), now);
  }

  /// Makes `per_s` calls a second for `length`.
  void Run(std::uint64_t per_s, Duration length) {
    for (const TimePoint end = now + length; now < end;
         now += milliseconds(1)) {
      std::erase_if(running, [this](const Running& run) {
        if (run.end <= now) {
          exits[run.exit].Release(run.ticket, kService);
        }
        return run.end <= now;
      });
      for (std::size_t i = 0; i < exits.size(); ++i) {
        exits[i].Expire(now);
        while (const auto ticket = exits[i].StartNext(now)) {
          Start(i, *ticket);
        }
      }
      for (std::uint64_t i = 0; i < 4; ++i) {
        if (random() % 4000 < per_s) {
          Call();
        }
      }
    }
  }

  std::size_t BusiestSecond(std::size_t exit) const {
    std::size_t most = 0;
    for (std::size_t last = 0, first = 0; last < starts[exit].size(); ++last) {
      while (starts[exit][last] - starts[exit][first] >=
             std::chrono::seconds(1)) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  struct Running {
    TimePoint end;
    std::size_t exit;
    CallTicket ticket;
  };
  TimePoint now{std::chrono::hours(1)};
  std::mt19937_64 random{3};
  std::vector<Admission> exits;
  std::array<std::vector<Candidate>, 4> entries;
  std::vector<std::vector<TimePoint>> starts;  ///< By exit.
  std::vector<Running> running;
  std::uint64_t calls = 0;
  std::uint64_t refused_by_entry = 0;
  std::uint64_t refused_by_exit = 0;
};

}  // namespace

// Load: half of the upstreams come back cold, and more calls come than the warm
// ones bear alone. Guards against a herd to the cold ones, against leaving
// them idle, and against calls that are lost although there is room.
Test(cold_fleet, cold_half_takes_its_rate_and_the_rest_goes_to_warm_ones) {
  ColdFleet fleet(4);
  fleet.Run(440, std::chrono::seconds(5));
  for (std::size_t i = 0; i < 4; ++i) {
    cr_expect_leq(fleet.BusiestSecond(i), kLimit);
    cr_expect_geq(fleet.starts[i].size(), 5 * kLimit / 2, "cold %zu: %zu", i,
                  fleet.starts[i].size());
    cr_expect_geq(fleet.starts[4 + i].size(), 5 * 60, "warm %zu: %zu", i,
                  fleet.starts[4 + i].size());
  }
  const std::uint64_t refused = fleet.refused_by_entry + fleet.refused_by_exit;
  cr_expect_leq(refused, fleet.calls / 20, "%lu of %lu", refused, fleet.calls);
}

// Load: all upstreams come back cold, and twice the calls come that they bear.
// Guards against a second with more starts than one bears, and against offers
// in vain: the entries see that there is no room.
Test(cold_fleet, all_cold_under_full_load_share_what_they_bear) {
  ColdFleet fleet(8);
  fleet.Run(300, std::chrono::seconds(5));
  for (std::size_t i = 0; i < 8; ++i) {
    cr_expect_leq(fleet.BusiestSecond(i), kLimit);
    cr_expect_geq(fleet.starts[i].size(), 5 * kLimit * 0.8, "%zu: %zu", i,
                  fleet.starts[i].size());
  }
  cr_expect_lt(fleet.refused_by_exit, fleet.calls / 10, "%lu of %lu in vain",
               fleet.refused_by_exit, fleet.calls);
  cr_expect_gt(fleet.refused_by_entry, 0U);
}
