#include "yuccamast/membership/source_freshness.h"

#include <algorithm>
#include <cmath>

namespace yuccamast {

namespace {

/// Probe periods for which a contact counts as recent, at least.
constexpr double kMinContactPeriods = 2;

/// Delay of a first attempt for each node that ranks before this one.
constexpr Duration kRankDelay = std::chrono::milliseconds(250);

/// An attempt without contact ends after this time.
constexpr Duration kAttemptTime = std::chrono::milliseconds(1000);

/// Mean rate of the later attempts of all nodes together, per second.
constexpr double kFleetAttemptsPerSecond = 2;

/// Contacts older than this are sent and received with this age.
constexpr auto kMaxSentAge = std::chrono::hours(1);

}  // namespace

SourceFreshness::SourceFreshness(std::string vm,
                                 Duration probe_period,
                                 std::function<std::uint64_t()> random,
                                 TimePoint now)
    : m_vm(std::move(vm)),
      m_probe_period(probe_period),
      m_random(std::move(random)),
      m_message_at(now),
      m_own_at(now),
      m_peer_at(now),
      m_preferred_at(now) {}

void SourceFreshness::OnOwnContact(bool designated, TimePoint now) {
  m_own_at = now;
  m_own_designated = designated;
}

void SourceFreshness::OnMessage(const SourceContact& contact, TimePoint now) {
  m_message_at = now;
  if (contact.vm.empty() || contact.vm == m_vm) {
    return;
  }
  const std::chrono::milliseconds age(std::min<std::uint64_t>(
      contact.age_ms, std::chrono::milliseconds(kMaxSentAge).count()));
  const TimePoint contact_at = now - age;
  if (contact_at > m_peer_at) {
    m_peer_at = contact_at;
    m_peer_vm = contact.vm;
    m_peer_designated = contact.designated;
  }
  if (contact.designated || ReaderRank(contact.vm) > ReaderRank(m_vm)) {
    m_preferred_at = std::max(m_preferred_at, contact_at);
  }
}

SourceContact SourceFreshness::ContactToSend(TimePoint now) const {
  const bool own = m_own_at >= m_peer_at;
  const Duration age =
      std::min(now - std::max(m_own_at, m_peer_at), Duration(kMaxSentAge));
  SourceContact contact;
  contact.vm = own ? m_vm : m_peer_vm;
  contact.age_ms = static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(age).count());
  contact.designated = own ? m_own_designated : m_peer_designated;
  return contact;
}

bool SourceFreshness::IsIsolated(TimePoint now) const {
  return now - m_message_at >= 2 * m_probe_period;
}

Duration SourceFreshness::MaxContactAge(const ReaderPosition& position) const {
  const double members_per_reader =
      static_cast<double>(position.members) /
      static_cast<double>(std::max<std::size_t>(position.readers, 1));
  const double periods =
      std::max(kMinContactPeriods, std::log2(members_per_reader));
  return std::chrono::duration_cast<Duration>(m_probe_period * periods);
}

void SourceFreshness::StopIfRelieved(const ReaderPosition& position,
                                     TimePoint now) {
  if (IsIsolated(now)) {
    return;
  }
  const Duration max_age = MaxContactAge(position);
  if (now - m_preferred_at < max_age) {
    Reset();
    return;
  }
  const bool has_contact = now - m_own_at < max_age;
  if (!has_contact && now - m_attempt_started_at >= kAttemptTime) {
    Reset();
    const double mean_s =
        static_cast<double>(position.members) / kFleetAttemptsPerSecond;
    const double uniform = static_cast<double>(m_random() >> 11U) * 0x1p-53;
    m_attempt_due =
        now + std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double>(2 * mean_s) * uniform);
  }
}

bool SourceFreshness::Update(const ReaderPosition& position, TimePoint now) {
  if (m_is_substitute) {
    StopIfRelieved(position, now);
    return m_is_substitute;
  }
  const bool isolated = IsIsolated(now);
  const Duration max_age =
      isolated ? 2 * m_probe_period : MaxContactAge(position);
  if (now - std::max(m_own_at, m_peer_at) < max_age) {
    m_attempt_due.reset();
    return false;
  }
  if (!m_attempt_due) {
    m_attempt_due = now + kRankDelay * static_cast<int>(position.nodes_ahead);
  }
  if (isolated || now >= *m_attempt_due) {
    m_is_substitute = true;
    m_attempt_started_at = now;
    m_attempt_due.reset();
  }
  return m_is_substitute;
}

void SourceFreshness::Reset() {
  m_is_substitute = false;
  m_attempt_due.reset();
}

}  // namespace yuccamast
