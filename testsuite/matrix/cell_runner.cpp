#include "matrix/cell_runner.h"

#include "matrix/cell_call.h"

#include <algorithm>
#include <csignal>
#include <sstream>
#include <thread>

namespace yuccamast::matrix {

using std::chrono::milliseconds;
using testing::FleetSpec;
using testing::IntByPath;
using testing::LocalFleet;
using testing::LocalVm;
using testing::Process;
using testing::RawConnection;
using testing::ReceivedReply;
using testing::SendRequest;

namespace {

/// For the call to reach the step.
constexpr milliseconds kStepTimeout{5000};
constexpr milliseconds kReplyTimeout{8000};
/// For the nodes to release what they hold after the reply.
constexpr milliseconds kReleaseTimeout{6000};
/// Request body at the step `body_half`.
constexpr std::size_t kBodyBytes = 200'000;

/// The other data centre counts as 50 ms away, so that the entry prefers
/// `shop-a` at the start of a cell.
FleetSpec MakeFleetSpec(const std::string& rules) {
  FleetSpec spec;
  spec.vms = {{"vm-entry", "", "", "dc1"},
              {"vm-a", "shop-a", "shop", "dc1"},
              {"vm-b", "shop-b", "shop", "dc2"}};
  spec.config_files.push_back({"20-rules.json", rules});
  spec.relay_inner = true;
  spec.relay_upstream = true;
  spec.use_test_nodes = true;
  spec.settings = {
      {"entry_threads", 1},
      {"stop", JsonValue::Object{{"announce_ms", 100}, {"drain_ms", 6000}}},
      {"distance", JsonValue::Object{{"same_region_us", 50'000}}},
      {"log_level", "debug"}};
  return spec;
}

/// Returns the number in the line `KEY NUMBER` of a control page, or 0 if there
/// is no such line.
long CountOf(const std::string& text, const std::string& key) {
  std::istringstream in(text);
  std::string name;
  long value = 0;
  while (in >> name >> value) {
    if (name == key) {
      return value;
    }
  }
  return 0;
}

bool IsGracefulStop(Fault fault) {
  return fault == Fault::kEntryLeaving || fault == Fault::kExitLeaving ||
         fault == Fault::kUpstreamLeaving;
}

/// Whether the caller may get no reply at all after this fault.
bool MayCutCaller(Fault fault) {
  return fault == Fault::kEntryKilled || fault == Fault::kCallerReset ||
         fault == Fault::kCallerGone;
}

/// Returns the name of the step at which the test nodes hold the call, or "" if
/// a relay or the upstream delays the call instead.
std::string HeldStepName(Step step) {
  switch (step) {
    case Step::kReceived:
    case Step::kMatched:
    case Step::kChosen:
    case Step::kOffered:
    case Step::kAdmitted:
    case Step::kRelayed:
      return std::string(NameOf(step));
    case Step::kReplyWhole:
      return "answered";
    default:
      return "";
  }
}

/// Returns the query of the call, by which test nodes and upstream hold or
/// delay it at this step.
std::string QueryForStep(Step step) {
  const std::string hold = HeldStepName(step);
  if (!hold.empty()) {
    return "sleep_ms=20&hold=" + hold;
  }
  switch (step) {
    case Step::kRunning:
      return "sleep_ms=300";
    case Step::kReplyHead:
      return "sleep_ms=5&size=2000&pace=head&pause_ms=300";
    case Step::kReplyHalf:
      return "sleep_ms=5&size=2000&pace=half&pause_ms=300";
    default:
      return "sleep_ms=20";
  }
}

}  // namespace

CellRunner::CellRunner()
    : m_fleet(std::make_unique<LocalFleet>(
          MakeFleetSpec(RulesText(kDeadlineMs, false)))) {
  m_fleet->WaitUntilReady();
}

std::string CellRunner::GetPage(std::uint16_t port, const std::string& target) {
  return SendRequest(port, "GET", target, "", "", milliseconds(2000)).body;
}

void CellRunner::ConfigureRelays(const std::string& query) {
  for (std::size_t i = 0; i < m_fleet->size(); ++i) {
    GetPage(m_fleet->vm(i).inner_relay_control_port, "/_standin/set?" + query);
    GetPage(m_fleet->vm(i).upstream_relay_control_port,
            "/_standin/set?" + query);
  }
}

void CellRunner::RestartProcesses() {
  for (std::size_t i = 0; i < m_fleet->size(); ++i) {
    LocalVm& vm = m_fleet->vm(i);
    if (vm.upstream != nullptr && !vm.upstream->IsRunning()) {
      m_fleet->StartUpstream(i);
    }
    const bool leaving =
        vm.node->IsRunning() &&
        SendRequest(vm.control_port, "GET", "/health").status != 200;
    if (leaving) {
      vm.node->Signal(SIGKILL);
      vm.node->Wait(milliseconds(2000));
    }
    if (!vm.node->IsRunning()) {
      m_fleet->StartNode(i);
    }
  }
}

bool CellRunner::RestoreFleet() {
  ConfigureRelays("mode=pass&hold_after=-1&rate=0");
  // Connections that went silent in the cell before stay silent until they are
  // reset, and this cell must not use them.
  for (std::size_t i = 0; i < m_fleet->size(); ++i) {
    GetPage(m_fleet->vm(i).inner_relay_control_port, "/_standin/reset");
    GetPage(m_fleet->vm(i).upstream_relay_control_port, "/_standin/reset");
  }
  for (std::size_t i = 1; i < m_fleet->size(); ++i) {
    GetPage(m_fleet->vm(i).upstream_port,
            "/_standin/set?slow_percent=100&draining=0&fail_share=0");
  }
  RestartProcesses();
  m_fleet->PublishVmList({}, {});
  if (!m_fleet->WaitUntilReady()) {
    return false;
  }
  // The entry must see both upstreams, and its view must not be stale.
  return LocalFleet::WaitFor(
      [this] {
        const JsonValue dump = m_fleet->ReadDump(kEntryIndex);
        const JsonValue* balance = dump.Find("balance");
        const auto usable = [](const JsonValue& upstream) {
          const JsonValue* leaving = upstream.Find("leaving");
          return leaving != nullptr && !*leaving->AsBool();
        };
        const JsonValue* view_old = dump.Find("view_old");
        return balance != nullptr && balance->AsArray() != nullptr &&
               view_old != nullptr && !*view_old->AsBool() &&
               std::ranges::count_if(*balance->AsArray(), usable) == 2;
      },
      milliseconds(15'000));
}

void CellRunner::StartCall(const Cell& cell, Call& call) {
  call.id = "cell-" + std::to_string(++m_calls);
  for (std::size_t i = 0; i < m_fleet->size(); ++i) {
    GetPage(m_fleet->vm(i).control_port, "/arm");
  }
  if (cell.step == Step::kStarted) {
    ConfigureRelays("hold_after=0");
  } else if (cell.step == Step::kBodyHalf) {
    ConfigureRelays("hold_after=" + std::to_string(kBodyBytes / 2));
    // Only the relays before the upstreams are to hold bytes, not the inner
    // ones.
    for (std::size_t i = 0; i < m_fleet->size(); ++i) {
      GetPage(m_fleet->vm(i).inner_relay_control_port,
              "/_standin/set?hold_after=-1");
    }
  }
  if (cell.step == Step::kStarted) {
    for (std::size_t i = 0; i < m_fleet->size(); ++i) {
      GetPage(m_fleet->vm(i).inner_relay_control_port,
              "/_standin/set?hold_after=-1");
    }
  }
  const std::size_t size = cell.step == Step::kBodyHalf ? kBodyBytes : 40;
  call.caller =
      std::make_unique<RawConnection>(m_fleet->vm(kEntryIndex).caller_port);
  call.sent = call.caller->Send(
      "POST " + std::string(cell.idempotent ? "/again" : "/once") + "?" +
      QueryForStep(cell.step) + " HTTP/1.1\r\nHost: t\r\nX-Load-Id: " +
      call.id + "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
      std::string(size, 'b'));
}

bool CellRunner::WaitForStep(const Cell& cell, Call& call) {
  return LocalFleet::WaitFor(
      [&] {
        for (std::size_t i = 0; i < m_fleet->size(); ++i) {
          const LocalVm& vm = m_fleet->vm(i);
          bool is_held = false;
          if (!HeldStepName(cell.step).empty()) {
            const std::string held = GetPage(vm.control_port, "/held");
            is_held = held != "0" && !held.empty();
          } else if (i == kEntryIndex) {
            continue;
          } else if (cell.step == Step::kStarted ||
                     cell.step == Step::kBodyHalf) {
            is_held = CountOf(GetPage(vm.upstream_relay_control_port,
                                      "/_standin/state"),
                              "held") > 0;
          } else if (cell.step == Step::kRunning) {
            is_held = CountOf(GetPage(vm.upstream_port, "/_standin/state"),
                              "running") > 0;
          } else {
            is_held = CountOf(GetPage(vm.upstream_port, "/_standin/state"),
                              "paced") > 0;
          }
          if (is_held) {
            call.exit_index = i == kEntryIndex ? 1 : i;
            return true;
          }
        }
        return false;
      },
      kStepTimeout);
}

void CellRunner::ReleaseHeldCalls() {
  ConfigureRelays("hold_after=-1");
  for (std::size_t i = 0; i < m_fleet->size(); ++i) {
    if (m_fleet->vm(i).node->IsRunning()) {
      GetPage(m_fleet->vm(i).control_port, "/release");
    }
  }
}

void CellRunner::AwaitReply(Call& call) {
  call.reply = call.caller->connected() ? call.caller->ReadReply(kReplyTimeout)
                                        : ReceivedReply{};
}

void CellRunner::CheckReply(const Cell& cell, Call& call, CellResult& result) {
  const ReceivedReply& reply = call.reply;
  const bool may_be_cut = std::ranges::any_of(cell.faults, MayCutCaller);
  if (!reply.complete) {
    result.outcome = "cut";
    if (!may_be_cut || !reply.raw.empty()) {
      result.violations.push_back("the reply is incomplete: " + reply.raw);
    }
    return;
  }
  const std::string reported_outcome = reply.Field("yuccamast-outcome");
  result.outcome =
      reported_outcome.empty()
          ? std::to_string(reply.status)
          : reported_outcome + ":" + reply.Field("yuccamast-reason");
  if (reported_outcome.empty() && reply.status == 200 &&
      (!reply.body.starts_with("id=" + call.id + " ") ||
       !reply.body.ends_with("END"))) {
    result.violations.push_back("the reply is cut or of another call: " +
                                reply.body);
  }
  const bool only_graceful_stops =
      std::ranges::all_of(cell.faults, IsGracefulStop);
  if (only_graceful_stops && reply.status != 200) {
    result.violations.push_back("the call failed at a graceful stop: " +
                                result.outcome);
  }
}

void CellRunner::CheckRuns(const Cell& cell, Call& call, CellResult& result) {
  const unsigned runs = m_fleet->ReadLedgers()[call.id];
  const std::string reported_outcome = call.reply.Field("yuccamast-outcome");
  if (!cell.idempotent && runs > 1) {
    result.violations.push_back("the call isn't idempotent and ran " +
                                std::to_string(runs) + " times");
  }
  if (reported_outcome == "not-run" && runs > 0) {
    result.violations.push_back("the call was refused as not run, but it ran");
  }
  // If the caller leaves before the call is started, the call must not run.
  const bool caller_left =
      cell.faults.size() == 1 && (cell.faults.front() == Fault::kCallerGone ||
                                  cell.faults.front() == Fault::kCallerReset);
  if (caller_left && cell.step <= Step::kAdmitted && runs > 0) {
    result.violations.push_back(
        "the call ran although its caller had left before the start");
  }
  // The ledger is in the memory of the upstream and lost when it is killed.
  const bool ledger_is_lost =
      std::ranges::find(cell.faults, Fault::kUpstreamKilled) !=
      cell.faults.end();
  if (call.reply.status == 200 && runs == 0 && !ledger_is_lost) {
    result.violations.push_back(
        "the call was answered with 200, but it never ran");
  }
}

std::string CellRunner::UnreleasedResources() {
  std::string unreleased;
  for (std::size_t i = 0; i < m_fleet->size(); ++i) {
    LocalVm& vm = m_fleet->vm(i);
    if (!vm.node->IsRunning()) {
      continue;
    }
    const JsonValue dump = m_fleet->ReadDump(i);
    const JsonValue* entries = dump.Find("entries");
    if (entries == nullptr || entries->AsArray() == nullptr) {
      continue;  // The node is about to end.
    }
    for (const JsonValue& entry : *entries->AsArray()) {
      const JsonValue* calls = entry.Find("calls");
      if (calls != nullptr && !calls->AsArray()->empty()) {
        unreleased += vm.spec.vm + " holds entry calls; ";
      }
    }
    for (const char* key :
         {"exit.running", "exit.queued", "memory.bodies_used"}) {
      if (IntByPath(dump, key) > 0) {
        unreleased += vm.spec.vm + " " + key + "; ";
      }
    }
  }
  return unreleased;
}

void CellRunner::CheckResourcesReleased(CellResult& result) {
  std::string unreleased;
  LocalFleet::WaitFor(
      [&] {
        unreleased = UnreleasedResources();
        return unreleased.empty();
      },
      kReleaseTimeout);
  if (!unreleased.empty()) {
    result.violations.push_back("not released: " + unreleased);
  }
}

void CellRunner::CheckGuarantees(const Cell& cell,
                                 Call& call,
                                 CellResult& result) {
  CheckReply(cell, call, result);
  ConfigureRelays("mode=pass&hold_after=-1");
  CheckResourcesReleased(result);
  CheckRuns(cell, call, result);
  // A node that is stopped gracefully must end by itself within 8 s with exit
  // code 0, which says that no calls were left.
  const std::array<std::pair<Fault, std::size_t>, 2> graceful_stops = {
      {{Fault::kEntryLeaving, kEntryIndex},
       {Fault::kExitLeaving, call.exit_index}}};
  std::ranges::for_each(graceful_stops, [&](const auto& stop) {
    if (cell.faults.size() > 1 || cell.faults.front() != stop.first) {
      return;
    }
    const auto code = m_fleet->vm(stop.second).node->Wait(milliseconds(8000));
    if (code != 0) {
      result.violations.push_back(
          "exit code of the node after the graceful stop (-999: still "
          "running): " +
          std::to_string(code.value_or(-999)));
    }
  });
}

CellResult CellRunner::Run(const Cell& cell) {
  CellResult result;
  result.name = cell.Name();
  if (!RestoreFleet()) {
    result.violations.push_back(
        "the fleet could not be restored before the cell; balance: " +
        WriteJson(
            *testing::FindByPath(m_fleet->ReadDump(kEntryIndex), "balance")));
    return result;
  }
  Call call;
  StartCall(cell, call);
  if (!WaitForStep(cell, call)) {
    ReleaseHeldCalls();
    AwaitReply(call);
    result.violations.push_back("the call did not reach the step; reply: " +
                                call.reply.raw);
    return result;
  }
  std::ranges::for_each(cell.faults,
                        [&](Fault fault) { InjectFault(fault, call); });
  ReleaseHeldCalls();
  AwaitReply(call);
  CheckGuarantees(cell, call, result);
  const bool config_changed =
      std::ranges::find(cell.faults, Fault::kConfigChanged) !=
      cell.faults.end();
  if (config_changed) {
    m_fleet->Publish(++m_revision,
                     {{"20-rules.json", RulesText(kDeadlineMs, false)}});
    std::this_thread::sleep_for(milliseconds(300));
  }
  // The stand-ins count since their start (`paced`, ledger). They are restarted
  // before the next cell, so that its counts begin at zero.
  for (std::size_t i = 1; i < m_fleet->size(); ++i) {
    m_fleet->vm(i).upstream->Signal(SIGKILL);
    m_fleet->vm(i).upstream->Wait(milliseconds(2000));
  }
  return result;
}

}  // namespace yuccamast::matrix
