#include <csignal>
#include <thread>

#include "matrix/cell_call.h"
#include "matrix/cell_runner.h"

/// Injection of the faults; the other parts of CellRunner are in
/// cell_runner.cpp.

namespace yuccamast::matrix {

using std::chrono::milliseconds;
using testing::LocalVm;
using testing::Process;

std::string CellRunner::RulesText(int deadline_ms,
                                  bool swap_idempotence) const {
  const std::string tail = ", \"deadline_ms\": " + std::to_string(deadline_ms);
  return R"({"rules": {"once": {"service": "shop", "method": "POST",
            "path": "/once", "idempotent": )" +
         std::string(swap_idempotence ? "true" : "false") + tail +
         R"(}, "again": {"service": "shop", "method": "POST",
            "path": "/again", "idempotent": )" +
         std::string(swap_idempotence ? "false" : "true") + tail + "}}}";
}

void CellRunner::PauseProcess(Process& process, int milliseconds_paused) {
  process.Signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(milliseconds_paused));
  process.Signal(SIGCONT);
}

bool CellRunner::InjectProcessFault(Fault fault, Call& call) {
  LocalVm& entry = m_fleet->vm(kEntryIndex);
  LocalVm& exit_vm = m_fleet->vm(call.exit_index);
  switch (fault) {
    case Fault::kEntryKilled:
      entry.node->Signal(SIGKILL);
      return true;
    case Fault::kExitKilled:
      exit_vm.node->Signal(SIGKILL);
      return true;
    case Fault::kUpstreamKilled:
      exit_vm.upstream->Signal(SIGKILL);
      return true;
    case Fault::kEntryPausedShort:
      PauseProcess(*entry.node, kShortPauseMs);
      return true;
    case Fault::kEntryPausedLong:
      PauseProcess(*entry.node, kLongPauseMs);
      return true;
    case Fault::kExitPausedShort:
      PauseProcess(*exit_vm.node, kShortPauseMs);
      return true;
    case Fault::kExitPausedLong:
      PauseProcess(*exit_vm.node, kLongPauseMs);
      return true;
    case Fault::kUpstreamPausedShort:
      PauseProcess(*exit_vm.upstream, kShortPauseMs);
      return true;
    case Fault::kUpstreamPausedLong:
      PauseProcess(*exit_vm.upstream, kLongPauseMs);
      return true;
    case Fault::kEntryLeaving:
      entry.node->Signal(SIGTERM);
      return true;
    case Fault::kExitLeaving:
      exit_vm.node->Signal(SIGTERM);
      return true;
    case Fault::kUpstreamLeaving:
      GetPage(exit_vm.upstream_port, "/_standin/set?draining=1");
      return true;
    default:
      return false;
  }
}

void CellRunner::InjectFault(Fault fault, Call& call) {
  if (InjectProcessFault(fault, call)) {
    return;
  }
  LocalVm& exit_vm = m_fleet->vm(call.exit_index);
  const auto inner = [&](const std::string& target) {
    GetPage(exit_vm.inner_relay_control_port, "/_standin/" + target);
  };
  const auto upstream = [&](const std::string& target) {
    GetPage(exit_vm.upstream_relay_control_port, "/_standin/" + target);
  };
  switch (fault) {
    case Fault::kCallerReset:
    case Fault::kCallerGone:
      call.caller->Close(fault == Fault::kCallerReset);
      std::this_thread::sleep_for(milliseconds(kDisconnectNoticeMs));
      break;
    case Fault::kInnerReset:
      inner("reset");
      break;
    case Fault::kUpstreamReset:
      upstream("reset");
      break;
    case Fault::kInnerSilent:
      // `pass` is for new connections: those that are open stay silent.
      inner("set?mode=silent");
      inner("set?mode=pass");
      break;
    case Fault::kInnerHalfSilent:
      inner("set?mode=half");
      break;
    case Fault::kUpstreamSilent:
      // As for `kInnerSilent`.
      upstream("set?mode=silent");
      upstream("set?mode=pass");
      break;
    case Fault::kUpstreamSlow:
      GetPage(exit_vm.upstream_port, "/_standin/set?slow_percent=2000");
      break;
    case Fault::kUpstreamFastFailing:
      GetPage(exit_vm.upstream_port, "/_standin/set?fail_share=100");
      break;
    case Fault::kDeadlinePassed:
      std::this_thread::sleep_for(milliseconds(kDeadlineMs + 200));
      break;
    case Fault::kConfigChanged:
      m_fleet->Publish(++m_revision,
                       {{"20-rules.json", RulesText(60'000, true)}});
      std::this_thread::sleep_for(milliseconds(100));
      break;
    case Fault::kStaleVmList:
      m_fleet->PublishVmList({exit_vm.spec.vm}, {});
      break;
    default:
      break;
  }
}

}  // namespace yuccamast::matrix
