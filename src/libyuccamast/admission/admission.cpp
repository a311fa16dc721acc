#include "yuccamast/admission/admission.h"

#include <algorithm>

namespace yuccamast {

namespace {

/// One start in this many goes to the call that has waited longest.
constexpr std::uint32_t kOldestEvery = 4;

/// Weight of a new sample in the moving average is one over this.
constexpr int kAverageSpan = 8;

}  // namespace

bool Admission::HasSlot(WeightClass weight) const {
  if (running() >= m_limits.slots) {
    return false;
  }
  return weight == WeightClass::kShort ||
         m_running_long + m_limits.short_slots < m_limits.slots;
}

void Admission::Occupy(const AdmissionRequest& request, TimePoint now) {
  m_running[request.ticket] = {request.weight, now};
  m_running_long += request.weight == WeightClass::kLong ? 1 : 0;
}

bool Admission::CanMeetDeadline(const AdmissionRequest& request,
                                TimePoint now) const {
  const auto waves = static_cast<std::int64_t>(queued() / m_limits.slots);
  return now + (waves + 1) * m_short_service < request.deadline;
}

AdmissionDecision Admission::Offer(const AdmissionRequest& request,
                                   TimePoint now) {
  if (request.deadline <= now) {
    return {AdmissionVerdict::kRefused, RefusalReason::kDeadlineNotRun};
  }
  const bool overtakes = !m_queue.empty() && !HasSlot(WeightClass::kLong);
  if (HasSlot(request.weight) && (m_queue.empty() || overtakes)) {
    Occupy(request, now);
    return {AdmissionVerdict::kStart, {}};
  }
  if (queued() >= m_limits.queue_length || !CanMeetDeadline(request, now)) {
    return {AdmissionVerdict::kRefused, RefusalReason::kQueueFull};
  }
  const QueueKey key{request.idempotent, request.deadline, request.ticket};
  m_queue[key] = {request, now};
  m_keys[request.ticket] = key;
  return {AdmissionVerdict::kQueued, {}};
}

void Admission::Release(CallTicket ticket, std::optional<Duration> service) {
  const auto running = m_running.find(ticket);
  if (running == m_running.end()) {
    return;
  }
  const bool is_short = running->second.weight == WeightClass::kShort;
  m_running_long -= is_short ? 0 : 1;
  m_running.erase(running);
  if (is_short && service) {
    m_short_service =
        m_short_service == Duration::zero()
            ? *service
            : m_short_service + (*service - m_short_service) / kAverageSpan;
  }
}

bool Admission::Remove(CallTicket ticket) {
  const auto key = m_keys.find(ticket);
  if (key == m_keys.end()) {
    return false;
  }
  m_queue.erase(key->second);
  m_keys.erase(key);
  return true;
}

Admission::Queue::iterator Admission::PickNext() {
  const auto fits = [this](const auto& item) {
    return HasSlot(item.second.request.weight);
  };
  if ((m_starts + 1) % kOldestEvery != 0) {
    return std::ranges::find_if(m_queue, fits);
  }
  auto oldest = m_queue.end();
  for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
    const bool older =
        oldest == m_queue.end() || it->second.since < oldest->second.since;
    if (older && fits(*it)) {
      oldest = it;
    }
  }
  return oldest;
}

std::optional<CallTicket> Admission::StartNext(TimePoint now) {
  const auto next = PickNext();
  if (next == m_queue.end()) {
    return std::nullopt;
  }
  ++m_starts;
  const AdmissionRequest request = next->second.request;
  m_queue.erase(next);
  m_keys.erase(request.ticket);
  Occupy(request, now);
  return request.ticket;
}

std::vector<ExpiredCall> Admission::Expire(TimePoint now) {
  std::vector<ExpiredCall> expired;
  std::ranges::for_each(m_queue, [&](const auto& item) {
    const Waiting& waiting = item.second;
    if (waiting.request.deadline <= now) {
      expired.push_back(
          {waiting.request.ticket, RefusalReason::kDeadlineNotRun});
    } else if (now - waiting.since >= m_limits.queue_limit) {
      expired.push_back({waiting.request.ticket, RefusalReason::kQueueTimeout});
    }
  });
  std::ranges::for_each(
      expired, [this](const ExpiredCall& call) { Remove(call.ticket); });
  return expired;
}

std::vector<CallTicket> Admission::TakeQueue() {
  std::vector<CallTicket> taken;
  std::ranges::transform(m_keys, std::back_inserter(taken),
                         [](const auto& item) { return item.first; });
  m_queue.clear();
  m_keys.clear();
  return taken;
}

Duration Admission::OldestShort(TimePoint now) const {
  Duration oldest{};
  std::ranges::for_each(m_running, [&](const auto& item) {
    if (item.second.weight == WeightClass::kShort) {
      oldest = std::max(oldest, now - item.second.since);
    }
  });
  return oldest;
}

}  // namespace yuccamast
