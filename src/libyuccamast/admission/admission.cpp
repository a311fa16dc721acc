#include "yuccamast/admission/admission.h"

#include <algorithm>
#include <tuple>

namespace yuccamast {

namespace {

/// One start from the queue in this many goes to the call without objective
/// that has waited longest.
constexpr std::uint32_t kOldestFirstInterval = 4;

/// A run is assumed to need at least its expected service time divided by this
/// until its end, also if it has already taken longer than expected.
constexpr int kOverdueDivisor = 4;

/// Weight of a new sample in the moving average: one over this.
constexpr int kEwmaWindow = 16;

}  // namespace

bool Admission::HasSlot(WeightClass weight, TimePoint now) const {
  if (running() >= m_limits.slots || StartWait(0, now) > Duration::zero()) {
    return false;
  }
  return weight == WeightClass::kShort ||
         m_running_long + m_limits.short_slots < m_limits.slots;
}

bool Admission::HasSlotForLate() const {
  const std::uint32_t reserved =
      std::min(m_limits.late_reserved_slots, m_limits.slots / 3);
  return running() + reserved < m_limits.slots;
}

void Admission::OccupySlot(const AdmissionRequest& request, TimePoint now) {
  m_rate_limiter.Take(now);
  m_cold_starts.OnStart();
  m_running[request.ticket] = {
      request.weight, now,
      m_vm_speed.TimeIfStartedNow(ExpectedService(request)), false};
  m_running_long += request.weight == WeightClass::kLong ? 1 : 0;
}

Admission::QueueKey Admission::MakeQueueKey(const AdmissionRequest& request) {
  const bool has_objective = request.objective != TimePoint{};
  return {!request.nested, request.urgency, request.idempotent,
          has_objective ? request.objective : request.deadline, request.ticket};
}

Duration Admission::ExpectedService(const AdmissionRequest& request) const {
  return request.expected_service > Duration::zero() ? request.expected_service
                                                     : m_mean_short_service;
}

Duration Admission::EstimateWait(std::size_t ahead, TimePoint now) const {
  std::vector<Duration> left;
  left.reserve(std::max<std::size_t>(m_limits.slots, m_running.size()));
  std::ranges::transform(
      m_running, std::back_inserter(left), [&](const auto& item) {
        const RunningCall& run = item.second;
        return std::max(run.expected_service - (now - run.since),
                        run.expected_service / kOverdueDivisor);
      });
  left.resize(std::max<std::size_t>(m_limits.slots, left.size()));
  if (left.empty()) {
    return StartWait(ahead, now);
  }
  std::ranges::sort(left);
  // The k-th slot to become free takes the k-th waiting call, and each slot is
  // free again one mean service time later.
  const auto full_rounds = static_cast<std::int64_t>(ahead / left.size());
  return std::max(
      left[ahead % left.size()] + m_mean_short_service * full_rounds,
      StartWait(ahead, now));
}

SlowdownEstimator::RunningSample Admission::SampleRunning(TimePoint now) const {
  SlowdownEstimator::RunningSample running;
  std::ranges::for_each(m_running, [&](const auto& item) {
    if (item.second.expected_service > Duration::zero()) {
      running.Add(now - item.second.since, item.second.expected_service);
    }
  });
  return running;
}

Duration Admission::ExpectedWait(TimePoint now) const {
  const bool has_free_slot =
      m_queue.empty() && HasSlot(WeightClass::kShort, now);
  return has_free_slot ? Duration::zero() : EstimateWait(m_queue.size(), now);
}

bool Admission::CanMeetDeadline(const AdmissionRequest& request,
                                Duration wait,
                                TimePoint now) const {
  const Duration service = m_vm_speed.TimeToComplete(ExpectedService(request));
  return now + wait + service < request.deadline;
}

bool Admission::IsDeferred(const AdmissionRequest& request,
                           TimePoint now) const {
  const Duration service = ExpectedService(request);
  return m_vm_speed.ShouldDefer(service) &&
         now + m_vm_speed.slow_remaining + service < request.deadline;
}

bool Admission::IsLate(const AdmissionRequest& request,
                       Duration wait,
                       TimePoint now) const {
  return request.objective != TimePoint{} &&
         now + wait + m_vm_speed.TimeToComplete(ExpectedService(request)) >
             request.objective;
}

std::size_t Admission::CountAhead(const QueueKey& key, TimePoint now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(m_queue, [&](const auto& item) {
        return item.first < key &&
               !IsLate(item.second.request, Duration::zero(), now);
      }));
}

std::size_t Admission::CountLate(TimePoint now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(m_queue, [&](const auto& item) {
        return IsLate(item.second.request, Duration::zero(), now);
      }));
}

std::optional<CallTicket> Admission::FindDisplaceable(const QueueKey& key,
                                                      TimePoint now) const {
  const auto late = std::ranges::find_if(m_queue, [&](const auto& item) {
    return IsLate(item.second.request, Duration::zero(), now);
  });
  if (late != m_queue.end()) {
    return late->first.ticket;
  }
  // A call of the same rank is never displaced, only one of a lower rank.
  const QueueKey& last = std::prev(m_queue.end())->first;
  const bool has_higher_rank = std::tie(key.not_nested, key.urgency) <
                               std::tie(last.not_nested, last.urgency);
  return has_higher_rank ? std::optional(last.ticket) : std::nullopt;
}

AdmissionDecision Admission::Enqueue(const AdmissionRequest& request,
                                     TimePoint now) {
  const QueueKey key = MakeQueueKey(request);
  const Duration wait = EstimateWait(CountAhead(key, now), now);
  const bool late = IsLate(request, wait, now);
  const Duration effective_wait =
      late ? EstimateWait(m_queue.size(), now) : wait;
  const bool cold = running() < m_limits.slots && m_cold_starts.is_cold() &&
                    m_cold_starts.limit() > 0;
  const AdmissionDecision refused{
      AdmissionVerdict::kRefused,
      cold ? RefusalReason::kColdLimit : RefusalReason::kQueueFull,
      std::nullopt};
  if (!CanMeetDeadline(request, effective_wait, now) ||
      (late && CountLate(now) >= m_limits.max_queued_late)) {
    return refused;
  }
  AdmissionDecision decision{AdmissionVerdict::kQueued, {}, std::nullopt};
  if (queued() >= m_limits.queue_length) {
    decision.displaced =
        late || m_queue.empty() ? std::nullopt : FindDisplaceable(key, now);
    if (!decision.displaced) {
      return refused;
    }
    Remove(*decision.displaced);
  }
  m_queue[key] = {request, now};
  m_key_by_ticket[request.ticket] = key;
  return decision;
}

AdmissionDecision Admission::Offer(const AdmissionRequest& request,
                                   TimePoint now) {
  if (request.deadline <= now) {
    return {AdmissionVerdict::kRefused, RefusalReason::kDeadlineNotRun, {}};
  }
  const bool slot_permitted =
      !IsLate(request, Duration::zero(), now) || HasSlotForLate();
  // Queued calls that can't start now, for example long or deferred ones, may
  // be overtaken.
  const bool none_ahead = m_queue.empty() || PickNext(now) == m_queue.end();
  if (slot_permitted && HasSlot(request.weight, now) &&
      !IsDeferred(request, now) && none_ahead) {
    OccupySlot(request, now);
    return {AdmissionVerdict::kStart, {}, {}};
  }
  return Enqueue(request, now);
}

void Admission::Release(CallTicket ticket, std::optional<Duration> service) {
  const auto running = m_running.find(ticket);
  if (running == m_running.end()) {
    return;
  }
  const bool is_short = running->second.weight == WeightClass::kShort;
  m_running_long -= is_short ? 0 : 1;
  if (!running->second.sent) {
    m_cold_starts.OnNotSent();
  }
  m_running.erase(running);
  if (is_short && service) {
    m_mean_short_service =
        m_mean_short_service == Duration::zero()
            ? *service
            : m_mean_short_service +
                  (*service - m_mean_short_service) / kEwmaWindow;
  }
}

void Admission::OnSent(CallTicket ticket, TimePoint now) {
  const auto running = m_running.find(ticket);
  if (running != m_running.end() && !running->second.sent) {
    running->second.sent = true;
    m_cold_starts.OnSent(now);
  }
}

bool Admission::Remove(CallTicket ticket) {
  const auto key = m_key_by_ticket.find(ticket);
  if (key == m_key_by_ticket.end()) {
    return false;
  }
  m_queue.erase(key->second);
  m_key_by_ticket.erase(key);
  return true;
}

Admission::Queue::iterator Admission::PickOldest(TimePoint now) {
  auto oldest = m_queue.end();
  for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
    const bool older =
        oldest == m_queue.end() || it->second.since < oldest->second.since;
    const bool has_objective = it->second.request.objective != TimePoint{};
    if (older && !has_objective && HasSlot(it->second.request.weight, now) &&
        !IsDeferred(it->second.request, now)) {
      oldest = it;
    }
  }
  return oldest;
}

Admission::Queue::iterator Admission::PickNext(TimePoint now) {
  if ((m_start_count + 1) % kOldestFirstInterval == 0) {
    const auto oldest = PickOldest(now);
    if (oldest != m_queue.end()) {
      return oldest;
    }
  }
  const auto can_start = [&](const auto& item) {
    return HasSlot(item.second.request.weight, now) &&
           !IsDeferred(item.second.request, now);
  };
  const auto in_time = std::ranges::find_if(m_queue, [&](const auto& item) {
    return can_start(item) &&
           !IsLate(item.second.request, Duration::zero(), now);
  });
  if (in_time != m_queue.end() || !HasSlotForLate()) {
    return in_time;
  }
  return std::ranges::find_if(m_queue, can_start);
}

std::optional<CallTicket> Admission::StartNext(TimePoint now) {
  const auto next = PickNext(now);
  if (next == m_queue.end()) {
    return std::nullopt;
  }
  ++m_start_count;
  const AdmissionRequest request = next->second.request;
  m_queue.erase(next);
  m_key_by_ticket.erase(request.ticket);
  OccupySlot(request, now);
  return request.ticket;
}

std::vector<ExpiredCall> Admission::Expire(TimePoint now) {
  std::vector<ExpiredCall> expired;
  std::ranges::for_each(m_queue, [&](const auto& item) {
    const QueuedCall& waiting = item.second;
    if (waiting.request.deadline <= now) {
      expired.push_back(
          {waiting.request.ticket, RefusalReason::kDeadlineNotRun});
    } else if (now - waiting.since >= m_limits.queue_limit &&
               (waiting.request.objective == TimePoint{} ||
                IsLate(waiting.request, Duration::zero(), now))) {
      expired.push_back({waiting.request.ticket, RefusalReason::kQueueTimeout});
    }
  });
  std::ranges::for_each(
      expired, [this](const ExpiredCall& call) { Remove(call.ticket); });
  return expired;
}

std::vector<CallTicket> Admission::ClearQueue() {
  std::vector<CallTicket> taken;
  std::ranges::transform(m_key_by_ticket, std::back_inserter(taken),
                         [](const auto& item) { return item.first; });
  m_queue.clear();
  m_key_by_ticket.clear();
  return taken;
}

Duration Admission::OldestShortAge(TimePoint now) const {
  Duration oldest{};
  std::ranges::for_each(m_running, [&](const auto& item) {
    if (item.second.weight == WeightClass::kShort) {
      oldest = std::max(oldest, now - item.second.since);
    }
  });
  return oldest;
}

}  // namespace yuccamast
