#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "yuccamast/admission/slowdown_estimator.h"
#include "yuccamast/admission/vm_speed_tracker.h"
#include "yuccamast/clock.h"
#include "yuccamast/config/configuration.h"
#include "yuccamast/outcome/refusal.h"

/// \file admission.h
/// Decides at the exit which calls run at the upstream beside it, and when.
///
/// The exit is the only way to its upstream, so its counts are exact. A call
/// either starts, waits in a short queue, or is refused at once with proof
/// that it was not run. Some slots are kept from long calls.
///
/// A call may have an objective: the time by which its answer is worth most.
/// A call that cannot meet its objective any more is late. When slots are
/// short, a late call is hardly worth its slot, so calls that can be in time
/// always go first, few late ones may wait, and a late one makes room for one
/// in time. Otherwise a queue that is longer than the objective would make
/// every call late while the upstream is as busy as ever.
///
/// Among calls in time: nested calls first, since an upstream's slot is held
/// for them already; then the more urgent; then non-idempotent ones; then the
/// nearest objective. Calls without an objective are in time until their
/// deadline; of those, every fourth start goes to the oldest, so none starves.
///
/// While neighbours slow the upstream's machine, a call whose work would be
/// done sooner by a start after the slow spell is held, and its slot stays
/// free: work that starts in the spell keeps its slot many times as long.
///
/// The class holds no timers and does no I/O; the owner calls `Expire`.

namespace yuccamast {

using CallTicket = std::uint64_t;

/// Limits in force at an exit; changed by a new configuration.
struct AdmissionLimits {
  std::uint32_t slots = 10;
  std::uint32_t short_slots = 3;
  std::uint32_t queue_length = 20;
  Duration queue_limit = std::chrono::milliseconds(100);
  std::uint32_t max_queued_late = 4;  ///< Late calls that may wait.
  /// Slots that late calls leave free: a call in time is never far away when
  /// the upstream is busy, and when it is not, these do not matter.
  std::uint32_t late_reserved_slots = 2;
};

/// What the exit knows of an offered call.
struct AdmissionRequest {
  CallTicket ticket = 0;  ///< Unique among the calls the exit holds.
  TimePoint deadline;
  WeightClass weight = WeightClass::kShort;
  bool idempotent = false;
  TimePoint objective{};        ///< Never is: none.
  std::uint32_t urgency = 0;    ///< 0 is served first.
  bool nested = false;          ///< Made by a call that holds a slot.
  Duration expected_service{};  ///< Usual service time, as far as known.
};

enum class AdmissionVerdict : std::uint8_t { kStart, kQueued, kRefused };

struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;
  RefusalReason reason = RefusalReason::kQueueFull;  ///< If refused.
  /// A queued call that lost its place to this one; the owner refuses it.
  std::optional<CallTicket> displaced;
};

/// A queued call that is given up.
struct ExpiredCall {
  CallTicket ticket = 0;
  RefusalReason reason = RefusalReason::kQueueTimeout;
};

/// Slots and queue of one upstream. Not thread-safe.
class Admission {
 public:
  explicit Admission(AdmissionLimits limits) : m_limits(limits) {}

  /// Takes, queues or refuses a call. Precondition: the ticket is new.
  AdmissionDecision Offer(const AdmissionRequest& request, TimePoint now);

  /// A call that held a slot is done. `service` is the time it held it at the
  /// machine's usual speed, or nothing if it says nothing about the upstream.
  void Release(CallTicket ticket, std::optional<Duration> service);

  /// Takes a queued call out. False if it is not queued any more.
  bool Remove(CallTicket ticket);

  /// The next queued call that may start now; it then holds a slot.
  std::optional<CallTicket> StartNext(TimePoint now);

  /// Takes out every queued call whose deadline has passed, and every one that
  /// is late, or has no objective, and has waited for the queue limit.
  std::vector<ExpiredCall> Expire(TimePoint now);

  /// Takes out every queued call, for a stop or after a pause.
  std::vector<CallTicket> ClearQueue();

  /// What is known of the upstream's machine from now on.
  void SetVmSpeed(const VmSpeed& machine) { m_machine = machine; }

  void SetLimits(const AdmissionLimits& limits) { m_limits = limits; }
  const AdmissionLimits& limits() const { return m_limits; }

  std::uint32_t running() const {
    return static_cast<std::uint32_t>(m_running.size());
  }
  std::uint32_t running_long() const { return m_running_long; }
  std::uint32_t queued() const {
    return static_cast<std::uint32_t>(m_queue.size());
  }

  /// Moving average of the service time of short calls; zero if unknown.
  Duration mean_short_service() const { return m_short_service; }

  /// The calls that hold a slot, against the time that they were
  /// expected_service to.
  SlowdownEstimator::Running SampleRunning(TimePoint now) const;

  /// How long an ordinary call offered now would wait for a slot.
  Duration ExpectedWait(TimePoint now) const;

  /// Age of the short call that has run longest; zero if none runs.
  Duration OldestShortAge(TimePoint now) const;

 private:
  struct Waiting {
    AdmissionRequest request;
    TimePoint since;
  };
  struct Running {
    WeightClass weight = WeightClass::kShort;
    TimePoint since;
    Duration expected_service{};  ///< Time it holds its slot, as far as known.
  };
  /// The order among calls in time; see the file comment.
  struct QueueKey {
    bool not_nested = true;
    std::uint32_t urgency = 0;
    bool idempotent = false;
    TimePoint due;  ///< The objective, or the deadline without one.
    CallTicket ticket = 0;
    auto operator<=>(const QueueKey&) const = default;
  };
  using Queue = std::map<QueueKey, Waiting>;

  bool HasSlot(WeightClass weight) const;
  bool HasSlotForLate() const;
  void Occupy(const AdmissionRequest& request, TimePoint now);
  static QueueKey KeyOf(const AdmissionRequest& request);
  Duration WaitBehind(std::size_t ahead, TimePoint now) const;
  Duration UsualService(const AdmissionRequest& request) const;
  bool IsHeld(const AdmissionRequest& request, TimePoint now) const;
  bool CanMeetDeadline(const AdmissionRequest& request,
                       Duration wait,
                       TimePoint now) const;
  bool IsLate(const AdmissionRequest& request,
              Duration wait,
              TimePoint now) const;
  std::size_t CountAhead(const QueueKey& key, TimePoint now) const;
  std::size_t CountLate(TimePoint now) const;
  std::optional<CallTicket> FindDisplaceable(const QueueKey& key,
                                             TimePoint now) const;
  AdmissionDecision Enqueue(const AdmissionRequest& request, TimePoint now);
  Queue::iterator PickNext(TimePoint now);
  Queue::iterator PickOldest(TimePoint now);

  AdmissionLimits m_limits;
  VmSpeed m_machine;
  Queue m_queue;
  std::unordered_map<CallTicket, QueueKey> m_keys;
  std::unordered_map<CallTicket, Running> m_running;
  std::uint32_t m_running_long = 0;
  std::uint32_t m_starts = 0;
  Duration m_short_service{};
};

}  // namespace yuccamast
