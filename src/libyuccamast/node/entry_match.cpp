#include <algorithm>

#include "http/fields.h"
#include "node/entry_call.h"

/// \file entry_match.cpp
/// Matches a call with its rule and service and computes its deadline and
/// objective.
///
/// The deadline is the rule's, or the caller's remaining time if that is
/// shorter. The objective counts from the caller's first attempt, which is
/// known for a recognised retry (`CallerRetryTracker`) and otherwise estimated
/// (`CallerTimeoutEstimator`).

namespace yuccamast {

namespace {

/// 2^64 divided by the golden ratio. Multiples of it modulo 2^64 are a
/// low-discrepancy sequence (Fibonacci hashing).
constexpr std::uint64_t kGoldenRatioStep = 0x9e3779b97f4a7c15U;

/// Longest remaining time taken from a caller, a day; sums of times cannot
/// overflow with it.
constexpr std::int64_t kMaxRemainingMs = 86'400'000;

}  // namespace

const SplitPart& SplitSelector::Next(const std::vector<SplitPart>& parts) {
  m_position += kGoldenRatioStep;
  std::uint64_t sum = 0;
  std::ranges::for_each(parts,
                        [&](const SplitPart& part) { sum += part.weight; });
  constexpr unsigned kHalfBits = 32;
  std::uint64_t position = ((m_position >> kHalfBits) * sum) >> kHalfBits;
  const auto found = std::ranges::find_if(parts, [&](const SplitPart& part) {
    if (position < part.weight) {
      return true;
    }
    position -= part.weight;
    return false;
  });
  return found == parts.end() ? parts.back() : *found;
}

std::optional<RefusalReason> EntryCall::ReadBalancerFields() {
  if (const auto* text = FindField(m_request.fields, kDepthField)) {
    const auto depth = ParseCount(*text);
    if (!depth) {
      return RefusalReason::kBadRequest;
    }
    if (*depth >= static_cast<std::int64_t>(m_context.settings.max_depth)) {
      return RefusalReason::kDepthExceeded;
    }
    m_depth = static_cast<std::uint32_t>(*depth);
  }
  if (const auto* text = FindField(
          m_request.fields, m_context.settings.dialect->deadline_field)) {
    m_caller_remaining_ms = ParseCount(*text);
    if (!m_caller_remaining_ms) {
      return RefusalReason::kBadRequest;
    }
    m_caller_remaining_ms = std::min(*m_caller_remaining_ms, kMaxRemainingMs);
  }
  m_nested = IsNested();
  m_ancestor_is_retry = FindField(m_request.fields, kRetryField) != nullptr;
  return std::nullopt;
}

const Rule* EntryCall::FindMatchingRule(const Configuration& config,
                                        const CallerRequest& request,
                                        std::string_view path,
                                        RefusalReason& if_none) {
  const std::string* host = FindField(request.fields, "host");
  if (host != nullptr) {
    if (const Rule* rule = FindPrefixRule(config, *host, path)) {
      return rule;
    }
  }
  if (!IsUnambiguousPath(path)) {
    if_none = RefusalReason::kAmbiguousPath;
    return nullptr;
  }
  return FindRule(config, request.method, path);
}

bool EntryCall::MayOverlap(const Configuration& config,
                           const CallerRequest& request) {
  const std::string_view target = request.target;
  RefusalReason ignored = RefusalReason::kNoRule;
  const Rule* rule = FindMatchingRule(
      config, request, target.substr(0, target.find('?')), ignored);
  return rule != nullptr && MayOverlap(*rule, request);
}

bool EntryCall::ChooseService() {
  std::string_view name = m_rule->service;
  if (!m_rule->split.empty()) {
    const auto selector =
        m_context.split_selectors.try_emplace(m_rule->name, m_context.random())
            .first;
    name = selector->second.Next(m_rule->split).service;
  }
  const auto service = m_view->services.find(name);
  if (service == m_view->services.end()) {
    return false;
  }
  m_service = &service->second;
  return true;
}

std::optional<RefusalReason> EntryCall::Match() {
  const std::string_view target = m_request.target;
  const std::string_view path = target.substr(0, target.find('?'));
  if (target.find('#') != std::string_view::npos) {
    return RefusalReason::kAmbiguousPath;
  }
  if (const auto reason = ReadBalancerFields()) {
    return reason;
  }
  if (m_context.check_view_stale()) {
    return RefusalReason::kPaused;
  }
  m_view = m_context.view_store.Load();
  if (m_view->config == nullptr || m_view->vms == nullptr) {
    return RefusalReason::kNoConfiguration;
  }
  RefusalReason if_none = RefusalReason::kNoRule;
  m_rule = FindMatchingRule(*m_view->config, m_request, path, if_none);
  if (m_rule == nullptr) {
    return if_none;
  }
  m_may_overlap = MayOverlap(*m_rule, m_request);
  if (!ChooseService()) {
    return RefusalReason::kNoUpstream;
  }
  Duration allowed = m_rule->deadline;
  if (m_caller_remaining_ms) {
    allowed = std::min<Duration>(
        allowed, std::chrono::milliseconds(*m_caller_remaining_ms));
  }
  m_deadline = m_received_at + allowed;
  if (m_deadline > m_context.admit_until()) {
    return RefusalReason::kLeaving;
  }
  SetObjective();
  if (m_service->evacuated) {
    return RefusalReason::kEvacuated;
  }
  return std::nullopt;
}

void EntryCall::SetObjective() {
  m_first_attempt_at = m_received_at;
  if (m_caller_remaining_ms) {
    const Duration remaining =
        std::chrono::milliseconds(*m_caller_remaining_ms);
    const RequestKey key =
        KeyOfRequest(m_rule->name, m_request.method, m_request.target);
    if (const auto first = m_context.caller_retries.TakeFirstAttempt(
            key, remaining, m_received_at)) {
      m_first_attempt_at = *first;
    } else if (!m_request.from_own_vm) {
      // Not for calls from the own VM: they may be nested, and the remaining
      // time of a nested call is its parent's and says nothing about its own.
      m_first_attempt_at -= m_context.caller_timeouts.EstimateElapsed(
          m_rule->name, remaining, m_received_at);
    }
  }
  // A nested call has no objective of its own: it is in time as long as its
  // parent still waits for it.
  if (m_rule->objective > std::chrono::milliseconds::zero() && !m_nested) {
    m_objective = m_first_attempt_at + m_rule->objective;
  }
}

bool EntryCall::IsNested() const {
  const auto& parent_call_id = m_context.settings.dialect->parent_call_id;
  if (!m_request.from_own_vm || !parent_call_id) {
    return m_request.from_own_vm;
  }
  const std::string_view parent = parent_call_id(m_id);
  return !parent.empty() && m_context.running_call_ids->Contains(parent);
}

void EntryCall::RecordCallerFailure() {
  if (!m_caller_remaining_ms) {
    return;
  }
  const TimePoint now = Clock::now();
  const Duration remaining =
      std::chrono::milliseconds(*m_caller_remaining_ms) - (now - m_received_at);
  m_context.caller_retries.RecordFailure(
      KeyOfRequest(m_rule->name, m_request.method, m_request.target),
      m_first_attempt_at, remaining, now);
}

}  // namespace yuccamast
