#include "node/entry_call.h"

/// \file entry_report.cpp
/// Diagnostics of a call at the entry: log lines and its row in the dump.

namespace yuccamast {

namespace {

std::uint64_t ToMicroseconds(Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

}  // namespace

void EntryCall::LogDecision(LogLevel level,
                            LogEvent event,
                            std::string_view reason,
                            std::string_view outcome) const {
  if (!TakeLogToken(LogClass::kDecision)) {
    return;
  }
  const TimePoint now = Clock::now();
  const bool offered = m_offers > 0;
  const bool has_config = m_view != nullptr && m_view->config != nullptr;
  const auto remaining =
      m_rule == nullptr ? Duration::zero() : m_deadline - now;
  const auto millis = [](Duration duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
        .count();
  };
  Log(level, event,
      {{"call", m_id},
       {"reason", reason},
       {"outcome", outcome},
       {"rule", m_rule == nullptr ? "" : m_rule->name},
       {"target", m_request.target},
       {"upstream",
        offered ? m_service->members[m_attempt.member].upstream : ""},
       {"vm", offered ? m_service->members[m_attempt.member].vm : ""},
       {"attempt", m_offers},
       {"arrivals", m_arrivals},
       {"age_ms", millis(now - m_received_at)},
       {"left_ms", millis(remaining)},
       {"config", has_config ? m_view->config->revision : 0},
       {"list",
        has_config && m_view->vms != nullptr ? m_view->vms->revision : 0},
       {"candidates", m_service == nullptr ? 0 : m_service->candidates.size()},
       {"report_us",
        offered && m_attempt.report_age != Duration::max()
            ? static_cast<std::int64_t>(ToMicroseconds(m_attempt.report_age))
            : -1},
       {"room", NameOf(m_room.room)},
       {"room_wait_us", ToMicroseconds(m_room.expected_wait)},
       {"room_reports", m_room.fresh_reports},
       {"room_age_us", ToMicroseconds(m_room.oldest_report)},
       {"budget",
        m_service == nullptr ? 0.0 : m_service->retry_budget->tokens()}});
}

JsonValue EntryCall::ToJson(TimePoint now) const {
  const bool matched = m_rule != nullptr;
  const std::string upstream =
      m_offers == 0 ? "" : m_service->members[m_attempt.member].upstream;
  return JsonValue::Object{{"call", m_id},
                           {"rule", matched ? m_rule->name : ""},
                           {"idempotent", matched && m_rule->idempotent},
                           {"upstream", upstream},
                           {"step", NameOf(m_state.step())},
                           {"offers", std::uint64_t{m_offers}},
                           {"age_us", ToMicroseconds(now - m_received_at)}};
}

}  // namespace yuccamast
