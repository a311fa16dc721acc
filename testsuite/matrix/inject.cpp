#include <csignal>
#include <thread>

#include "matrix/cell_call.h"
#include "matrix/cell_runner.h"

/// Brings the faults of the matrix about.

namespace yuccamast::matrix {

using std::chrono::milliseconds;
using testing::LocalVm;
using testing::Process;

std::string CellRunner::Rules(int deadline_ms, bool flipped) const {
  const std::string tail = ", \"deadline_ms\": " + std::to_string(deadline_ms);
  return R"({"rules": {"once": {"service": "shop", "method": "POST",
            "path": "/once", "idempotent": )" +
         std::string(flipped ? "true" : "false") + tail +
         R"(}, "again": {"service": "shop", "method": "POST",
            "path": "/again", "idempotent": )" +
         std::string(flipped ? "false" : "true") + tail + "}}}";
}

void CellRunner::Pause(Process& process, int milliseconds_paused) {
  process.Signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(milliseconds_paused));
  process.Signal(SIGCONT);
}

bool CellRunner::InjectInProcess(Fault fault, Call& call) {
  LocalVm& entry = m_fleet->vm(kEntry);
  LocalVm& holder = m_fleet->vm(call.holder);
  switch (fault) {
    case Fault::kEntryKilled:
      entry.node->Signal(SIGKILL);
      return true;
    case Fault::kExitKilled:
      holder.node->Signal(SIGKILL);
      return true;
    case Fault::kUpstreamKilled:
      holder.upstream->Signal(SIGKILL);
      return true;
    case Fault::kEntryPausedShort:
      Pause(*entry.node, kShortPauseMs);
      return true;
    case Fault::kEntryPausedLong:
      Pause(*entry.node, kLongPauseMs);
      return true;
    case Fault::kExitPausedShort:
      Pause(*holder.node, kShortPauseMs);
      return true;
    case Fault::kExitPausedLong:
      Pause(*holder.node, kLongPauseMs);
      return true;
    case Fault::kUpstreamPausedShort:
      Pause(*holder.upstream, kShortPauseMs);
      return true;
    case Fault::kUpstreamPausedLong:
      Pause(*holder.upstream, kLongPauseMs);
      return true;
    case Fault::kEntryLeaving:
      entry.node->Signal(SIGTERM);
      return true;
    case Fault::kExitLeaving:
      holder.node->Signal(SIGTERM);
      return true;
    case Fault::kUpstreamLeaving:
      Page(holder.upstream_port, "/_standin/set?draining=1");
      return true;
    default:
      return false;
  }
}

void CellRunner::Inject(Fault fault, Call& call) {
  if (InjectInProcess(fault, call)) {
    return;
  }
  LocalVm& holder = m_fleet->vm(call.holder);
  const auto inner = [&](const std::string& target) {
    Page(holder.inner_relay_control, "/_standin/" + target);
  };
  const auto upstream = [&](const std::string& target) {
    Page(holder.upstream_relay_control, "/_standin/" + target);
  };
  switch (fault) {
    case Fault::kCallerReset:
    case Fault::kCallerGone:
      call.caller->Close(fault == Fault::kCallerReset);
      std::this_thread::sleep_for(milliseconds(kNoticeMs));
      break;
    case Fault::kInnerReset:
      inner("reset");
      break;
    case Fault::kUpstreamReset:
      upstream("reset");
      break;
    case Fault::kInnerSilent:
      inner("set?mode=silent");
      inner("set?mode=pass");
      break;
    case Fault::kInnerHalfSilent:
      inner("set?mode=half");
      break;
    case Fault::kUpstreamSilent:
      upstream("set?mode=silent");
      upstream("set?mode=pass");
      break;
    case Fault::kUpstreamSlow:
      Page(holder.upstream_port, "/_standin/set?slow_percent=2000");
      break;
    case Fault::kUpstreamFastFailing:
      Page(holder.upstream_port, "/_standin/set?fail_share=100");
      break;
    case Fault::kDeadlinePassed:
      std::this_thread::sleep_for(milliseconds(kDeadlineMs + 200));
      break;
    case Fault::kConfigChanged:
      m_fleet->Publish(++m_revision, {{"20-rules.json", Rules(60'000, true)}});
      std::this_thread::sleep_for(milliseconds(100));
      break;
    case Fault::kStaleVmList:
      m_fleet->PublishVms({holder.spec.vm}, {});
      break;
    default:
      break;
  }
}

}  // namespace yuccamast::matrix
