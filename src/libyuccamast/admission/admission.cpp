#include "yuccamast/admission/admission.h"

#include <algorithm>
#include <array>
#include <functional>

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

std::string_view NameOf(ShortRoom room) {
  constexpr std::array<std::string_view, 4> kNames = {
      "none", "deadline", "late_places", "queue_places"};
  return kNames.at(static_cast<std::size_t>(room));
}

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
  m_starvation_guard.OnStarted(request.kind, now);
  m_rate_limiter.Take(now);
  m_cold_starts.OnStart();
  m_running[request.ticket] = {
      request.weight, now,
      m_vm_speed.TimeIfStartedNow(ExpectedService(request)), request.kind,
      request.expected_service};
  m_running_long += request.weight == WeightClass::kLong ? 1 : 0;
}

CallTraits Admission::TraitsOf(const AdmissionRequest& request) const {
  return {request.urgency,
          request.nested,
          request.idempotent,
          request.objective,
          request.deadline,
          m_vm_speed.TimeToComplete(ExpectedService(request)),
          request.service_deviation};
}

Admission::QueueKey Admission::MakeQueueKey(
    const AdmissionRequest& request) const {
  CallTraits traits = TraitsOf(request);
  // The rank is fixed while the call is queued, so it must not depend on the
  // present speed.
  traits.expected_service = ExpectedService(request);
  return {RankOf(traits), request.ticket};
}

bool Admission::StartsBefore(const QueueKey& key,
                             std::uint64_t kind,
                             const QueueKey& other,
                             std::uint64_t other_kind,
                             TimePoint now) const {
  if (key.rank.not_nested != other.rank.not_nested) {
    return !key.rank.not_nested;
  }
  const bool starved = m_starvation_guard.IsStarved(kind, now);
  const bool other_starved = m_starvation_guard.IsStarved(other_kind, now);
  return starved != other_starved ? starved : key < other;
}

Duration Admission::ExpectedService(const AdmissionRequest& request) const {
  return request.expected_service > Duration::zero()
             ? m_estimate_corrector.Correct(request.kind,
                                            request.expected_service)
             : m_mean_short_service;
}

Duration Admission::EstimateWait(const std::vector<Duration>& ahead,
                                 TimePoint now) const {
  std::vector<Duration> left;
  left.reserve(std::max<std::size_t>(m_limits.slots, m_running.size()));
  std::ranges::transform(
      m_running, std::back_inserter(left), [&](const auto& item) {
        const RunningCall& run = item.second;
        return std::max(run.expected_service - (now - run.since),
                        run.expected_service / kOverdueDivisor);
      });
  left.resize(std::max<std::size_t>(m_limits.slots, left.size()));
  const Duration start_wait = StartWait(ahead.size(), now);
  if (left.empty()) {
    return start_wait;
  }
  // List scheduling: each call takes the slot that is free first.
  std::ranges::make_heap(left, std::ranges::greater{});
  std::ranges::for_each(ahead, [&](Duration service) {
    std::ranges::pop_heap(left, std::ranges::greater{});
    left.back() += service;
    std::ranges::push_heap(left, std::ranges::greater{});
  });
  return std::max(left.front(), start_wait);
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
  return has_free_slot ? Duration::zero() : EstimateWait(QueuedServices(), now);
}

Duration Admission::ExpectedWait(bool nested,
                                 std::uint32_t urgency,
                                 TimePoint now) const {
  if (m_queue.empty()) {
    return ExpectedWait(now);
  }
  std::vector<Duration> ahead;
  std::ranges::for_each(m_queue, [&](const auto& item) {
    const CallRank& rank = item.first.rank;
    if (!rank.not_nested || (!nested && rank.urgency <= urgency)) {
      ahead.push_back(ExpectedService(item.second.request));
    }
  });
  return EstimateWait(ahead, now);
}

bool Admission::TakesLate(TimePoint now) const {
  return queued() < m_limits.queue_length &&
         CountLate(now) < m_limits.max_queued_late;
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
         ProspectOf(TraitsOf(request), wait, now) != Prospect::kInTime;
}

std::vector<Duration> Admission::ServicesAhead(const QueueKey& key,
                                               std::uint64_t kind,
                                               TimePoint now) const {
  std::vector<Duration> services;
  std::ranges::for_each(m_queue, [&](const auto& item) {
    const AdmissionRequest& queued = item.second.request;
    if (StartsBefore(item.first, queued.kind, key, kind, now) &&
        !IsLate(queued, Duration::zero(), now)) {
      services.push_back(ExpectedService(queued));
    }
  });
  return services;
}

std::vector<Duration> Admission::QueuedServices() const {
  std::vector<Duration> services;
  std::ranges::transform(
      m_queue, std::back_inserter(services),
      [&](const auto& item) { return ExpectedService(item.second.request); });
  return services;
}

std::size_t Admission::CountLate(TimePoint now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(m_queue, [&](const auto& item) {
        return IsLate(item.second.request, Duration::zero(), now);
      }));
}

std::optional<CallTicket> Admission::FindDisplaceable(const QueueKey& key,
                                                      std::uint64_t kind,
                                                      TimePoint now) const {
  std::optional<CallTicket> late;
  auto last = m_queue.begin();
  for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
    const std::uint64_t last_kind = last->second.request.kind;
    if (IsLate(it->second.request, Duration::zero(), now)) {
      late = it->first.ticket;
    } else if (StartsBefore(last->first, last_kind, it->first,
                            it->second.request.kind, now)) {
      last = it;
    }
  }
  if (late) {
    return late;
  }
  const CallRank& last_rank = last->first.rank;
  const bool starved = m_starvation_guard.IsStarved(kind, now);
  const bool last_starved =
      m_starvation_guard.IsStarved(last->second.request.kind, now);
  const bool same_nesting = key.rank.not_nested == last_rank.not_nested;
  const bool displaces = same_nesting && starved != last_starved
                             ? starved
                             : key.rank.Displaces(last_rank);
  return displaces ? std::optional(last->first.ticket) : std::nullopt;
}

AdmissionDecision Admission::Enqueue(const AdmissionRequest& request,
                                     TimePoint now) {
  const QueueKey key = MakeQueueKey(request);
  const Duration wait =
      EstimateWait(ServicesAhead(key, request.kind, now), now);
  const bool late = IsLate(request, wait, now);
  const Duration effective_wait =
      late ? EstimateWait(QueuedServices(), now) : wait;
  const bool is_cold_limit = running() < m_limits.slots &&
                             m_cold_starts.is_cold() &&
                             m_cold_starts.limit() > 0;
  const auto refuse = [&](ShortRoom room) {
    return AdmissionDecision{
        AdmissionVerdict::kRefused,
        is_cold_limit ? RefusalReason::kColdLimit : RefusalReason::kQueueFull,
        std::nullopt, room};
  };
  if (ProspectOf(TraitsOf(request), effective_wait, now) ==
      Prospect::kUseless) {
    return refuse(ShortRoom::kDeadline);
  }
  if (late && CountLate(now) >= m_limits.max_queued_late) {
    return refuse(ShortRoom::kLatePlaces);
  }
  AdmissionDecision decision{AdmissionVerdict::kQueued, {}, std::nullopt};
  if (queued() >= m_limits.queue_length) {
    decision.displaced = late || m_queue.empty()
                             ? std::nullopt
                             : FindDisplaceable(key, request.kind, now);
    if (!decision.displaced) {
      return refuse(ShortRoom::kQueuePlaces);
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
    return {AdmissionVerdict::kRefused,
            RefusalReason::kDeadlineNotRun,
            {},
            ShortRoom::kDeadline};
  }
  m_starvation_guard.OnOffered(request.kind, now);
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
  if (service) {
    m_estimate_corrector.OnEnded(running->second.kind,
                                 running->second.offered_estimate, *service);
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
  auto in_time = m_queue.end();
  for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
    const AdmissionRequest& request = it->second.request;
    if (can_start(*it) && !IsLate(request, Duration::zero(), now) &&
        (in_time == m_queue.end() ||
         StartsBefore(it->first, request.kind, in_time->first,
                      in_time->second.request.kind, now))) {
      in_time = it;
    }
  }
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
      return;
    }
    const bool waited_too_long =
        now - waiting.since >= m_limits.queue_limit &&
        (waiting.request.objective == TimePoint{} ||
         IsLate(waiting.request, Duration::zero(), now));
    if (waited_too_long ||
        ProspectOf(TraitsOf(waiting.request), Duration::zero(), now) ==
            Prospect::kUseless) {
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
