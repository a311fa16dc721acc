#include <algorithm>
#include <limits>

#include "node/exit_call.h"
#include "node/exit_calls.h"

/// \file exit_report.cpp
/// Load reports and refusals for entries, log lines and the control dump of
/// `ExitCalls`.

namespace yuccamast {

namespace {

/// Starts possible now; -1: not limited.
std::int64_t StartsLeftForDump(const Admission& admission, TimePoint now) {
  const std::size_t left = admission.StartsLeft(now);
  return left == std::numeric_limits<std::size_t>::max()
             ? -1
             : static_cast<std::int64_t>(left);
}

}  // namespace

LoadReport ExitCalls::MakeReport() const {
  LoadReport report;
  report.boot_id = m_boot_id;
  report.running = m_admission.running();
  report.queued = m_admission.queued();
  report.limit = m_admission.limits().slots;
  const TimePoint now = Clock::now();
  report.service_us = static_cast<std::uint32_t>(
      static_cast<double>(ToMicroseconds(m_service_times.OverallMean())) *
      EstimateSlowdown(now));
  report.oldest_short_us = static_cast<std::uint32_t>(
      ToMicroseconds(m_admission.OldestShortAge(Clock::now())));
  report.leaving = leaving() || m_evacuated;
  report.wait_us = static_cast<std::uint32_t>(
      ToMicroseconds(m_admission.ExpectedWait(Clock::now())));
  report.rank_wait_us = {
      static_cast<std::uint32_t>(
          ToMicroseconds(m_admission.ExpectedWait(true, 0, now))),
      static_cast<std::uint32_t>(
          ToMicroseconds(m_admission.ExpectedWait(false, 0, now))),
      static_cast<std::uint32_t>(
          ToMicroseconds(m_admission.ExpectedWait(false, 1, now)))};
  report.takes_late = m_admission.TakesLate(now);
  report.slowness = m_vm_speed.slowness_percent();
  report.slow_remaining_us = static_cast<std::uint32_t>(
      ToMicroseconds(m_vm_speed.At(Clock::now()).slow_remaining));
  ReportColdStarts(report, now);
  return report;
}

void ExitCalls::AnswerRefusal(const StreamResponder& responder,
                              RefusalReason reason) const {
  AnswerMessage answer;
  answer.refused = true;
  answer.reason = static_cast<std::uint8_t>(reason);
  answer.load = MakeReport();
  responder.Answer(Pack(answer));
}

void ExitCalls::LogRefusedOffer(const OfferMessage& offer,
                                RefusalReason reason,
                                ShortRoom short_room) const {
  if (!TakeLogToken(LogClass::kDecision)) {
    return;
  }
  Log(LogLevel::kInfo, LogEvent::kOfferRefused,
      {{"call", offer.call_id},
       {"attempt", offer.attempt},
       {"from", offer.origin.vm},
       {"upstream", offer.upstream},
       {"named", m_reported_upstream},
       {"reason", InfoOf(reason).name},
       {"short", NameOf(short_room)},
       {"running", m_admission.running()},
       {"queued", m_admission.queued()},
       {"slots", m_admission.limits().slots},
       {"wait_us", ToMicroseconds(m_admission.ExpectedWait(Clock::now()))},
       {"objective_us", offer.objective_us},
       {"left_us", offer.remaining_us},
       {"slowness", m_vm_speed.slowness_percent()}});
}

void ExitCalls::LogCallEvent(const Call& call,
                             LogEvent event,
                             std::string_view reason) const {
  if (!TakeLogToken(LogClass::kDecision)) {
    return;
  }
  const TimePoint now = Clock::now();
  const bool started = call.started_at != TimePoint{};
  Log(LogLevel::kInfo, event,
      {{"call", call.offer.call_id},
       {"attempt", call.offer.attempt},
       {"from", call.offer.origin.vm},
       {"upstream", call.offer.upstream},
       {"reason", reason},
       {"step", NameOf(call.state.step())},
       {"held_us", ToMicroseconds(now - call.received_at)},
       {"ran_us", started ? ToMicroseconds(now - call.started_at) : 0},
       {"running", m_admission.running()},
       {"queued", m_admission.queued()},
       {"slots", m_admission.limits().slots},
       {"slowness", m_vm_speed.slowness_percent()}});
}

std::vector<std::string> ExitCalls::CallIds() const {
  std::vector<std::string> ids;
  std::ranges::transform(
      m_calls, std::back_inserter(ids),
      [](const auto& item) { return item.second->offer.call_id; });
  return ids;
}

JsonValue ExitCalls::ToJson() const {
  const TimePoint now = Clock::now();
  JsonValue::Array calls;
  std::ranges::for_each(m_calls, [&](const auto& item) {
    const Call& call = *item.second;
    calls.push_back(
        JsonValue::Object{{"call", call.offer.call_id},
                          {"rule", call.offer.rule},
                          {"from", call.offer.origin.vm},
                          {"step", NameOf(call.state.step())},
                          {"reply_head", call.reply_head_read},
                          {"told", call.reply_done},
                          {"age_us", ToMicroseconds(now - call.received_at)}});
  });
  return JsonValue::Object{
      {"upstream", m_settings.upstream},
      {"leaving", leaving()},
      {"evacuated", m_evacuated},
      {"upstream_draining", IsUpstreamDraining()},
      {"slots", m_admission.limits().slots},
      {"running", m_admission.running()},
      {"running_long", m_admission.running_long()},
      {"queued", m_admission.queued()},
      {"service_us", ToMicroseconds(m_admission.mean_short_service())},
      {"cold_left_ms",
       ToMicroseconds(m_admission.cold_starts().ColdRemaining(now)) / 1000},
      {"starts_per_s", m_admission.rate_limit()},
      {"starts_left", StartsLeftForDump(m_admission, now)},
      {"upstream_connections",
       std::uint64_t{m_upstream == nullptr ? 0 : m_upstream->connections()}},
      {"upstream_idle",
       std::uint64_t{m_upstream == nullptr ? 0
                                           : m_upstream->idle_connections()}},
      {"calls", std::move(calls)}};
}

}  // namespace yuccamast
