#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "yuccamast/admission/call_cost.h"
#include "yuccamast/admission/cold_start_limiter.h"
#include "yuccamast/admission/estimate_corrector.h"
#include "yuccamast/admission/rate_limiter.h"
#include "yuccamast/admission/slowdown_estimator.h"
#include "yuccamast/admission/starvation_guard.h"
#include "yuccamast/admission/vm_speed_tracker.h"
#include "yuccamast/clock.h"
#include "yuccamast/config/configuration.h"
#include "yuccamast/outcome/refusal.h"

/// \file admission.h
/// Admission control at the exit: concurrency limit plus a bounded priority
/// queue in front of one upstream.
///
/// Input: each offered call with its deadline, objective, priority and expected
/// service time. Output: start now, queue, or refuse. All calls to an upstream
/// pass through the exit beside it, so the slot count is exact, and a refused
/// call is known not to have run. `short_slots` slots are closed to long calls.
///
/// A call may have an objective (a soft deadline), the time by which its answer
/// has its full value. A call is late if it can't be expected to end by its
/// objective any more. Calls in time always start before late ones, and a late
/// call is refused if `max_queued_late` late calls are queued already. If the
/// queue is full, a new call in time displaces the late call that costs callers
/// least; if none is late, it displaces the last call in the order below,
/// provided that it differs from it by more than the objective. Without these
/// rules, a queue longer than the objective would make every call late while
/// the upstream stays fully loaded.
///
/// Order among calls in time: nested calls, then calls of a kind that would
/// starve (`StarvationGuard`), then by `RankOf` (urgency, value for each unit
/// of work, earliest objective), see call_cost.h.
///
/// A call without an objective counts as in time until its deadline. Every
/// fourth start from the queue goes to the longest waiting of these, so that
/// none starves. A queued call that cannot reach its deadline any more is
/// refused at once.
///
/// While other tenants of the host slow down the upstream's VM, a call is
/// deferred, and its slot stays free, if it would end sooner when started after
/// the slow period, and that end is before its deadline: work that starts in a
/// slow period runs at the slow speed to its end and holds its slot several
/// times as long.
///
/// The upstream may limit the rate of its calls (`SetRateLimit`). Each start
/// then also takes a token of that rate; queued calls start in the order above
/// as tokens come in, and one whose turn would come too late is refused at
/// once.
///
/// While the upstream may be cold, `ColdStartLimiter` limits the starts in the
/// same way, and calls that find no room for that reason are refused with
/// `kColdLimit`.
///
/// The class has no timers and does no I/O; the owner calls `Expire` and
/// `StartNext`. A method costs at most O(q log q + s log s) for q queued calls
/// and s slots.

namespace yuccamast {

/// Key of a call at one exit, assigned by the owner.
using CallTicket = std::uint64_t;

/// Limits of one upstream; they may change with a new configuration.
struct AdmissionLimits {
  std::uint32_t slots = 10;         ///< Calls that may run at once.
  std::uint32_t short_slots = 3;    ///< Slots that long calls may not use.
  std::uint32_t queue_length = 20;  ///< Calls that may be queued.
  /// Longest time in the queue for calls that are late or have no objective.
  Duration queue_limit = std::chrono::milliseconds(100);
  /// A late call is refused if this many late calls are queued already. More
  /// may be queued, since queued calls can become late.
  std::uint32_t max_queued_late = 4;
  /// Slots that must stay free when a late call starts, whichever calls hold
  /// the others; capped at a third of `slots`. On a busy upstream a call in
  /// time will need them soon; on an idle one the reserve has no effect.
  std::uint32_t late_reserved_slots = 2;
};

/// Properties of an offered call.
struct AdmissionRequest {
  CallTicket ticket = 0;  ///< Unique among the calls held by the exit.
  TimePoint deadline;
  WeightClass weight = WeightClass::kShort;
  bool idempotent = false;
  TimePoint objective{};      ///< `TimePoint{}`: no objective.
  std::uint32_t urgency = 0;  ///< 0 is the most urgent.
  bool nested = false;        ///< Made while serving another call.
  /// Expected service time at the VM's normal speed; 0: unknown.
  Duration expected_service{};
  /// Mean absolute deviation of the service time; 0: unknown.
  Duration service_deviation{};
  /// Kind of the call, for `StarvationGuard` and `EstimateCorrector`.
  std::uint64_t kind = 0;
};

/// `kStart`: the call holds a slot now; `kQueued`: it waits until `StartNext`
/// returns it; `kRefused`: it is not held and will not run.
enum class AdmissionVerdict : std::uint8_t { kStart, kQueued, kRefused };

/// The room that was short when a call was refused.
enum class ShortRoom : std::uint8_t {
  kNone,
  kDeadline,     ///< No slot is expected in time for the deadline.
  kLatePlaces,   ///< It would be late, and enough late calls are queued.
  kQueuePlaces,  ///< The queue is full of calls that cost callers more.
};

/// Name as in logs, such as `late_places`.
std::string_view NameOf(ShortRoom room);

/// Result of `Admission::Offer`.
struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;
  RefusalReason reason = RefusalReason::kQueueFull;  ///< Only if refused.
  /// Queued call that was removed in favour of this one; the owner has to
  /// refuse it.
  std::optional<CallTicket> displaced;
  ShortRoom short_room = ShortRoom::kNone;  ///< Only if refused.
};

/// A call removed from the queue, with the reason to refuse it for.
struct ExpiredCall {
  CallTicket ticket = 0;
  RefusalReason reason = RefusalReason::kQueueTimeout;
};

/// Slots and queue of one upstream. Not thread-safe. The argument `now` must
/// not decrease from one method call to the next.
class Admission {
 public:
  explicit Admission(AdmissionLimits limits) : m_limits(limits) {}

  /// Starts, queues or refuses a call. Precondition: no held call has the
  /// ticket. Refuses with `kDeadlineNotRun` if the deadline has passed, else
  /// with `kQueueFull` if the deadline can't be met or there is no room, or
  /// with `kColdLimit` if that is due to a cold upstream.
  AdmissionDecision Offer(const AdmissionRequest& request, TimePoint now);

  /// Frees the slot of a call; no effect if the call holds none. `service` is
  /// its service time converted to the VM's normal speed, or nothing if the
  /// run must not count for the mean (for example a failed one).
  void Release(CallTicket ticket, std::optional<Duration> service);

  /// The request of a call that holds a slot is about to be written.
  void OnSent(CallTicket ticket, TimePoint now);

  /// Removes a queued call. Returns false if it is not queued.
  bool Remove(CallTicket ticket);

  /// Moves the next queued call that may start now to a slot and returns it,
  /// or nothing if none may start. To be repeated until it returns nothing
  /// whenever a slot is freed or the VM's speed changes.
  std::optional<CallTicket> StartNext(TimePoint now);

  /// Removes and returns the queued calls whose deadline has passed
  /// (`kDeadlineNotRun`), those that cannot reach it any more, and those that
  /// are late or have no objective and have waited for `queue_limit`
  /// (`kQueueTimeout`).
  std::vector<ExpiredCall> Expire(TimePoint now);

  /// Removes and returns all queued calls, in no particular order; for use
  /// after a pause of the process, which makes queued calls out of date.
  std::vector<CallTicket> ClearQueue();

  /// Sets the current speed of the upstream's VM.
  void SetVmSpeed(const VmSpeed& vm_speed) { m_vm_speed = vm_speed; }

  /// Limits the starts to a rate per second, or lifts the limit. Queued calls
  /// are kept; `StartNext` starts them as the rate permits.
  void SetRateLimit(std::optional<double> rate, TimePoint now) {
    m_rate_limiter.SetRate(rate, now);
  }
  /// The limit in starts per second; 0: none.
  double rate_limit() const { return m_rate_limiter.rate(); }
  /// Starts that the rate limit and the limit of a cold upstream permit now.
  std::size_t StartsLeft(TimePoint now) const {
    return std::min(m_rate_limiter.StartsLeft(now),
                    m_cold_starts.StartsLeft(now));
  }

  /// The limit of starts while the upstream may be cold. The owner passes it
  /// what the health page says; starts are counted by this class.
  ColdStartLimiter& cold_starts() { return m_cold_starts; }
  const ColdStartLimiter& cold_starts() const { return m_cold_starts; }

  /// Applies to later decisions; running and queued calls are kept even if
  /// they exceed the new limits.
  void SetLimits(const AdmissionLimits& limits) { m_limits = limits; }
  const AdmissionLimits& limits() const { return m_limits; }

  /// Calls that hold a slot.
  std::uint32_t running() const {
    return static_cast<std::uint32_t>(m_running.size());
  }
  /// Long calls that hold a slot.
  std::uint32_t running_long() const { return m_running_long; }
  std::uint32_t queued() const {
    return static_cast<std::uint32_t>(m_queue.size());
  }

  /// Exponentially weighted moving average of the service time of short
  /// calls; zero before the first sample.
  Duration mean_short_service() const { return m_mean_short_service; }

  /// Ages and expected service times of the running calls, as input for
  /// `SlowdownEstimator::At`. Calls whose expected service time is unknown are
  /// left out.
  SlowdownEstimator::RunningSample SampleRunning(TimePoint now) const;

  /// Estimated time in the queue for a call offered now that goes behind all
  /// queued ones; zero if a slot is free, the rate limit permits a start and
  /// the queue is empty.
  Duration ExpectedWait(TimePoint now) const;

  /// The same for a call that goes before less urgent ones: behind the queued
  /// nested calls only, or behind those and the ones of its urgency or a more
  /// urgent one.
  Duration ExpectedWait(bool nested,
                        std::uint32_t urgency,
                        TimePoint now) const;

  /// Whether a call that can only be late would be queued now.
  bool TakesLate(TimePoint now) const;

  /// Time since the start of the oldest running short call; zero if none
  /// runs.
  Duration OldestShortAge(TimePoint now) const;

 private:
  struct QueuedCall {
    AdmissionRequest request;
    TimePoint since;
  };
  struct RunningCall {
    WeightClass weight = WeightClass::kShort;
    TimePoint since;
    /// At the VM's speed when the call started; 0: unknown.
    Duration expected_service{};
    std::uint64_t kind = 0;
    Duration offered_estimate{};  ///< `AdmissionRequest::expected_service`.
    bool sent = false;            ///< See `OnSent`.
  };
  /// Sort key of the queue: the order in the file comment, except for starved
  /// kinds, which depend on the time.
  struct QueueKey {
    CallRank rank;
    CallTicket ticket = 0;
    auto operator<=>(const QueueKey&) const = default;
  };
  using Queue = std::map<QueueKey, QueuedCall>;

  /// Whether a slot is free for a call of this weight class and the limits on
  /// starts permit one.
  bool HasSlot(WeightClass weight, TimePoint now) const;
  /// Whether more slots are free than `late_reserved_slots` (as capped).
  bool HasSlotForLate() const;
  void OccupySlot(const AdmissionRequest& request, TimePoint now);
  /// Time until the limits on starts permit one, with `ahead` before it.
  Duration StartWait(std::size_t ahead, TimePoint now) const {
    return std::max(m_rate_limiter.WaitFor(ahead, now),
                    m_cold_starts.WaitFor(ahead, now));
  }
  /// The traits of the call at the VM's present speed.
  CallTraits TraitsOf(const AdmissionRequest& request) const;
  QueueKey MakeQueueKey(const AdmissionRequest& request) const;
  /// Whether the call with the first key and request starts before the other
  /// one if both are in time.
  bool StartsBefore(const QueueKey& key,
                    std::uint64_t kind,
                    const QueueKey& other,
                    std::uint64_t other_kind,
                    TimePoint now) const;
  /// Estimated time until a slot is free, and the rate limit permits the start,
  /// for a call behind calls with the expected service times `ahead`.
  Duration EstimateWait(const std::vector<Duration>& ahead,
                        TimePoint now) const;
  /// The corrected expected service time, or the mean of short calls if it is
  /// unknown.
  Duration ExpectedService(const AdmissionRequest& request) const;
  /// Whether to start the call after the slow period: it then ends sooner
  /// and still before its deadline.
  bool IsDeferred(const AdmissionRequest& request, TimePoint now) const;
  /// Whether the call can be expected to miss its objective if it starts after
  /// `wait`; false without an objective.
  bool IsLate(const AdmissionRequest& request,
              Duration wait,
              TimePoint now) const;
  /// Expected service times of the queued calls in time that start before a
  /// call with `key` of the kind.
  std::vector<Duration> ServicesAhead(const QueueKey& key,
                                      std::uint64_t kind,
                                      TimePoint now) const;
  /// Expected service times of all queued calls.
  std::vector<Duration> QueuedServices() const;
  std::size_t CountLate(TimePoint now) const;
  /// The queued call that a call in time with `key` displaces: the last late
  /// one, else the last one if it costs callers less than `key`, else nothing.
  /// Precondition: the queue is not empty.
  std::optional<CallTicket> FindDisplaceable(const QueueKey& key,
                                             std::uint64_t kind,
                                             TimePoint now) const;
  AdmissionDecision Enqueue(const AdmissionRequest& request, TimePoint now);
  /// The queued call to start next; `end()` if none may start now.
  Queue::iterator PickNext(TimePoint now);
  /// Of the calls without an objective that can start now, the one that has
  /// been queued longest; `end()` if there is none.
  Queue::iterator PickOldest(TimePoint now);

  AdmissionLimits m_limits;
  RateLimiter m_rate_limiter;
  ColdStartLimiter m_cold_starts;
  StarvationGuard m_starvation_guard;
  EstimateCorrector m_estimate_corrector;
  VmSpeed m_vm_speed;
  Queue m_queue;
  std::unordered_map<CallTicket, QueueKey> m_key_by_ticket;
  std::unordered_map<CallTicket, RunningCall> m_running;
  std::uint32_t m_running_long = 0;
  std::uint32_t m_start_count = 0;  ///< Starts from the queue.
  Duration m_mean_short_service{};
};

}  // namespace yuccamast
