#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <vector>

#include "yuccamast/admission/admission.h"

/// \file short_room_test.cpp
/// Admission in virtual time where room is short, against arrival order, over
/// 20 seeds. Each test names the load that it guards against.

using namespace yuccamast;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr int kSeeds = 20;

/// One kind of call with Poisson arrivals.
struct Kind {
  double per_second = 0;
  Duration work{};
  Duration objective{};  ///< Zero: none.
  Duration deadline{};
  std::uint32_t urgency = 0;
  double worth = 1;
  double late_worth = 0.1;
  bool nested = false;
  double estimate_factor = 1;  ///< Expected service time / actual mean.
};

struct Result {
  int offered = 0;
  int served = 0;
  double owed = 0;
  double earned = 0;
  int held_until_deadline = 0;  ///< Refused only when the deadline had passed.
  double ServedShare() const { return 1.0 * served / std::max(offered, 1); }
};

enum class Order { kArrival, kCost };

/// One upstream with seven slots and 20 places in its queue.
class Model {
 public:
  Model(std::vector<Kind> kinds, Order order, unsigned seed)
      : m_kinds(std::move(kinds)), m_order(order), m_random(seed) {}

  /// Offers calls for `length`, then lets the rest end.
  std::vector<Result> Run(Duration length) {
    m_results.resize(m_kinds.size());
    std::vector<TimePoint> next(m_kinds.size(), kStart);
    for (std::size_t i = 0; i < m_kinds.size(); ++i) {
      next[i] += Gap(m_kinds[i]);
    }
    for (TimePoint now = kStart; now < kStart + length + milliseconds(5000);
         now += milliseconds(1)) {
      End(now);
      for (std::size_t i = 0; i < m_kinds.size(); ++i) {
        for (; next[i] <= now && now < kStart + length;
             next[i] += Gap(m_kinds[i])) {
          Offer(i, now);
        }
      }
    }
    return m_results;
  }

 private:
  struct Call {
    std::size_t kind = 0;
    TimePoint arrived;
    Duration work{};
  };

  Duration Gap(const Kind& kind) {
    const double seconds =
        std::exponential_distribution<double>(kind.per_second)(m_random);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(seconds));
  }

  void Offer(std::size_t index, TimePoint now) {
    const Kind& kind = m_kinds[index];
    const double factor =
        std::lognormal_distribution<double>(-0.045, 0.3)(m_random);
    const auto scale = [](Duration duration, double by) {
      return Duration(static_cast<std::int64_t>(
          static_cast<double>(duration.count()) * by));
    };
    const CallTicket ticket = ++m_last_ticket;
    m_calls[ticket] = {index, now, scale(kind.work, factor)};
    ++m_results[index].offered;
    m_results[index].owed += kind.worth;
    if (m_order == Order::kArrival) {
      if (m_running < 7) {
        Start(ticket, now);
      } else if (m_fifo.size() < 20) {
        m_fifo.push_back(ticket);
      }
      return;
    }
    AdmissionRequest request;
    request.ticket = ticket;
    request.deadline = now + kind.deadline;
    request.idempotent = true;
    request.objective =
        kind.objective == Duration::zero() ? TimePoint{} : now + kind.objective;
    request.urgency = kind.urgency;
    request.nested = kind.nested;
    request.expected_service = scale(kind.work, kind.estimate_factor);
    request.service_deviation = request.expected_service / 4;
    request.kind = index;
    const auto decision = m_admission.Offer(request, now);
    if (decision.verdict == AdmissionVerdict::kStart) {
      Start(ticket, now);
    }
  }

  void Start(CallTicket ticket, TimePoint now) {
    ++m_running;
    m_ends.emplace(now + m_calls.at(ticket).work, ticket);
  }

  void End(TimePoint now) {
    while (!m_ends.empty() && m_ends.begin()->first <= now) {
      const auto [at, ticket] = *m_ends.begin();
      m_ends.erase(m_ends.begin());
      const Call& call = m_calls.at(ticket);
      const Kind& kind = m_kinds[call.kind];
      const bool in_time = kind.objective == Duration::zero() ||
                           at <= call.arrived + kind.objective;
      if (at <= call.arrived + kind.deadline) {
        ++m_results[call.kind].served;
        m_results[call.kind].earned += in_time ? kind.worth : kind.late_worth;
      }
      --m_running;
      m_admission.Release(ticket, call.work);
    }
    while (m_running < 7 && !m_fifo.empty()) {
      const CallTicket ticket = m_fifo.front();
      m_fifo.pop_front();
      const Call& call = m_calls.at(ticket);
      if (now < call.arrived + m_kinds[call.kind].deadline) {
        Start(ticket, now);
      }
    }
    for (const ExpiredCall& expired : m_admission.Expire(now)) {
      m_results[m_calls.at(expired.ticket).kind].held_until_deadline +=
          expired.reason == RefusalReason::kDeadlineNotRun ? 1 : 0;
    }
    while (const auto ticket = m_admission.StartNext(now)) {
      Start(*ticket, now);
    }
  }

  std::vector<Kind> m_kinds;
  Order m_order;
  std::mt19937 m_random;
  Admission m_admission{{7, 0, 20, milliseconds(100)}};
  std::deque<CallTicket> m_fifo;
  std::map<CallTicket, Call> m_calls;
  std::multimap<TimePoint, CallTicket> m_ends;
  CallTicket m_last_ticket = 0;
  int m_running = 0;
  std::vector<Result> m_results;
};

/// Sums by kind over all seeds, with the credit of each seed.
struct Outcome {
  std::vector<Result> kinds;
  std::vector<double> credit;  ///< Share of the credit owed, by seed.
  double Mean() const {
    double sum = 0;
    std::ranges::for_each(credit, [&](double value) { sum += value; });
    return sum / static_cast<double>(credit.size());
  }
  double ServedShare() const {
    Result all;
    std::ranges::for_each(kinds, [&](const Result& kind) {
      all.offered += kind.offered;
      all.served += kind.served;
    });
    return all.ServedShare();
  }
};

Outcome RunSeeds(const char* load,
                 const std::vector<Kind>& kinds,
                 Order order) {
  Outcome outcome;
  outcome.kinds.resize(kinds.size());
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const auto results = Model(kinds, order, static_cast<unsigned>(seed))
                             .Run(milliseconds(8000));
    double owed = 0;
    double earned = 0;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
      Result& sum = outcome.kinds[i];
      sum.offered += results[i].offered;
      sum.served += results[i].served;
      sum.owed += results[i].owed;
      sum.earned += results[i].earned;
      sum.held_until_deadline += results[i].held_until_deadline;
      owed += results[i].owed;
      earned += results[i].earned;
    }
    outcome.credit.push_back(earned / owed);
  }
  const auto [low, high] = std::ranges::minmax(outcome.credit);
  std::printf("%s, %s: credit %.3f (%.3f to %.3f)", load,
              order == Order::kArrival ? "arrival" : "cost", outcome.Mean(),
              low, high);
  std::ranges::for_each(outcome.kinds, [](const Result& kind) {
    std::printf("; served %.3f lost %.0f of %.0f", kind.ServedShare(),
                kind.owed - kind.earned, kind.owed);
  });
  std::printf("\n");
  return outcome;
}

/// Callers must gain against arrival order, and no kind may be served less than
/// a quarter as often as all.
Outcome ExpectCheaperForCallers(const char* load,
                                const std::vector<Kind>& kinds) {
  const Outcome arrival = RunSeeds(load, kinds, Order::kArrival);
  Outcome cost = RunSeeds(load, kinds, Order::kCost);
  cr_expect_gt(cost.Mean(), arrival.Mean(), "%s", load);
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    cr_expect_geq(cost.kinds[i].ServedShare(), cost.ServedShare() / 4,
                  "%s: kind %zu starves", load, i);
  }
  return cost;
}

/// Seven slots serve 135 of the first kind and 22 of the second a second; the
/// sum of both is over half as much again.
const std::vector<Kind> kUrgentShortBesideLong = {
    {110, milliseconds(52), milliseconds(150), milliseconds(600), 0, 3.4, 0.14},
    {16, milliseconds(320), milliseconds(1500), milliseconds(2500), 2, 0.45,
     0.07}};

}  // namespace

Test(short_room, at_one_upstream_the_urgent_kind_is_served_no_worse) {
  const Outcome cost =
      ExpectCheaperForCallers("urgent beside long", kUrgentShortBesideLong);
  cr_expect_geq(cost.kinds[0].ServedShare(),
                cost.kinds[1].ServedShare() - 0.05);
}

Test(short_room, far_too_little_room_starves_no_kind) {
  // Without shares against starvation the urgent kind alone takes all slots.
  std::vector<Kind> kinds = kUrgentShortBesideLong;
  kinds[0].per_second = 200;
  const Outcome cost = ExpectCheaperForCallers("far too little room", kinds);
  cr_expect_geq(cost.kinds[0].ServedShare(),
                cost.kinds[1].ServedShare() - 0.05);
}

Test(short_room, short_dear_work_goes_before_long_cheap_work) {
  // Equal urgency: the order by value for each unit of work has to serve more
  // calls than any order that ignores the work.
  const std::vector<Kind> kinds = {
      {120, milliseconds(40), milliseconds(400), milliseconds(1000), 1},
      {16, milliseconds(320), milliseconds(1200), milliseconds(2500), 1}};
  const Outcome cost = ExpectCheaperForCallers("long beside short", kinds);
  cr_expect_geq(cost.kinds[0].ServedShare(), 0.9);
}

Test(short_room, deadlines_that_pass_while_queued_are_refused_before) {
  const std::vector<Kind> kinds = {
      {110, milliseconds(100), milliseconds(0), milliseconds(220), 1}};
  const Outcome cost = ExpectCheaperForCallers("passing deadlines", kinds);
  cr_expect_eq(cost.kinds[0].held_until_deadline, 0);
}

Test(short_room, calls_of_parents_that_hold_slots_go_first) {
  const std::vector<Kind> kinds = {
      {100, milliseconds(30), milliseconds(0), milliseconds(400), 2, 1, 0,
       true},
      {90, milliseconds(82), milliseconds(600), milliseconds(1500), 2}};
  const Outcome cost = ExpectCheaperForCallers("called service", kinds);
  cr_expect_geq(cost.kinds[0].ServedShare(), 0.95);
}

Test(short_room, work_estimated_wrong_by_four_times) {
  for (const double factor : {0.25, 4.0}) {
    std::vector<Kind> kinds = kUrgentShortBesideLong;
    kinds[1].estimate_factor = factor;
    ExpectCheaperForCallers("wrong estimate of the long kind", kinds);
    kinds[1].estimate_factor = 1;
    kinds[0].estimate_factor = factor;
    ExpectCheaperForCallers("wrong estimate of the urgent kind", kinds);
  }
}

Test(short_room, all_rules_at_the_highest_urgency) {
  std::vector<Kind> kinds = kUrgentShortBesideLong;
  kinds[1].urgency = 0;
  ExpectCheaperForCallers("all at urgency 0", kinds);
}
