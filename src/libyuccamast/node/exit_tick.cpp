#include <algorithm>

#include "log/log.h"
#include "node/exit_call.h"
#include "node/exit_calls.h"

/// \file exit_tick.cpp
/// What an exit does from time to time, and at the end of the process.

namespace yuccamast {

namespace {

/// Tick period while calls are queued; it is 50 ms otherwise.
constexpr Duration kTickPeriod = std::chrono::milliseconds(5);
/// Probe interval while calls are queued during a slow period of the VM.
constexpr Duration kSlowPeriodProbeInterval = std::chrono::milliseconds(25);

}  // namespace

void ExitCalls::CheckPause(TimePoint now) {
  const Duration pause = m_pause_detector.Check(now);
  if (pause == Duration::zero()) {
    return;
  }
  m_metrics.Add(Counter::kPauses);
  Log(LogLevel::kWarning, LogEvent::kPauseNoticed,
      {{"face", "exit"}, {"ms", ToMicroseconds(pause) / 1000}});
  std::ranges::for_each(m_admission.ClearQueue(), [this](CallTicket ticket) {
    const CallPtr call = m_calls.at(ticket);
    RefuseCall(call, RefusalReason::kPaused);
  });
}

void ExitCalls::ArmTick() {
  m_tick_timer.expires_after(
      m_admission.queued() > 0 ? kTickPeriod : std::chrono::milliseconds(50));
  m_tick_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error && !m_closed) {
      OnTick();
    }
  });
}

void ExitCalls::OnTick() {
  const TimePoint now = Clock::now();
  CheckPause(now);
  RefreshLimits();
  ExpireUnknownRateLimit(now);
  UpdateColdStarts(now);
  const VmSpeed vm_speed = m_vm_speed.At(now);
  m_admission.SetVmSpeed(vm_speed);
  if (vm_speed.factor > 1.0 && m_admission.queued() > 0 &&
      m_vm_speed.ReadingAge(now) >= kSlowPeriodProbeInterval) {
    m_health_checker->ProbeNow();
  }
  std::ranges::for_each(m_admission.Expire(now), [&](const ExpiredCall& item) {
    const CallPtr call = m_calls.at(item.ticket);
    RefuseCall(call, item.reason);
  });
  StartQueued();
  ArmTick();
}

void ExitCalls::StartLeaving() {
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  Log(LogLevel::kInfo, LogEvent::kNodeLeaving, {{"calls", m_calls.size()}});
}

void ExitCalls::Close() {
  m_closed = true;
  m_tick_timer.cancel();
  SendPendingReports();
  if (m_upstream != nullptr) {
    m_health_checker->Stop();
    m_upstream->CloseIdle();
  }
}

}  // namespace yuccamast
