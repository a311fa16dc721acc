#include "matrix/cell_runner.h"

#include "matrix/cell_call.h"

#include <algorithm>
#include <csignal>
#include <sstream>
#include <thread>

namespace yuccamast::matrix {

using std::chrono::milliseconds;
using testing::FleetSpec;
using testing::HttpAnswer;
using testing::IntAt;
using testing::LocalFleet;
using testing::LocalVm;
using testing::Process;
using testing::RawConnection;
using testing::Request;

namespace {

constexpr milliseconds kStepLimit{5000};
constexpr milliseconds kReplyLimit{8000};
constexpr milliseconds kSettleLimit{6000};
constexpr std::size_t kBodyBytes = 200'000;

FleetSpec Spec(const std::string& rules) {
  FleetSpec spec;
  spec.vms = {{"vm-entry", "", "", "dc1"},
              {"vm-a", "shop-a", "shop", "dc1"},
              {"vm-b", "shop-b", "shop", "dc2"}};
  spec.files.push_back({"20-rules.json", rules});
  spec.relay_inner = true;
  spec.relay_upstream = true;
  spec.test_nodes = true;
  spec.settings = {
      {"entry_threads", 1},
      {"stop", JsonValue::Object{{"announce_ms", 100}, {"drain_ms", 6000}}},
      {"distance", JsonValue::Object{{"same_region_us", 50'000}}},
      {"log_level", "debug"}};
  return spec;
}

/// The value of `key` in lines of `key value`.
long ValueOf(const std::string& text, const std::string& key) {
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

bool IsLeaving(Fault fault) {
  return fault == Fault::kEntryLeaving || fault == Fault::kExitLeaving ||
         fault == Fault::kUpstreamLeaving;
}

/// Faults after which the caller may be left without any reply.
bool CutsCaller(Fault fault) {
  return fault == Fault::kEntryKilled || fault == Fault::kCallerReset ||
         fault == Fault::kCallerGone;
}

/// The name by which the nodes hold a call, or empty if something else does.
std::string HoldName(Step step) {
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

std::string QueryOf(Step step) {
  const std::string hold = HoldName(step);
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
    : m_fleet(std::make_unique<LocalFleet>(Spec(Rules(kDeadlineMs, false)))) {
  m_fleet->WaitReady();
}

std::string CellRunner::Page(std::uint16_t port, const std::string& target) {
  return Request(port, "GET", target, "", "", milliseconds(2000)).body;
}

void CellRunner::SetRelays(const std::string& query) {
  for (std::size_t i = 0; i < m_fleet->size(); ++i) {
    Page(m_fleet->vm(i).inner_relay_control, "/_standin/set?" + query);
    Page(m_fleet->vm(i).upstream_relay_control, "/_standin/set?" + query);
  }
}

void CellRunner::StartProcesses() {
  for (std::size_t i = 0; i < m_fleet->size(); ++i) {
    LocalVm& vm = m_fleet->vm(i);
    if (vm.upstream != nullptr && !vm.upstream->Running()) {
      m_fleet->StartUpstream(i);
    }
    const bool leaving =
        vm.node->Running() &&
        Request(vm.control_port, "GET", "/health").status != 200;
    if (leaving) {
      vm.node->Signal(SIGKILL);
      vm.node->Wait(milliseconds(2000));
    }
    if (!vm.node->Running()) {
      m_fleet->StartNode(i);
    }
  }
}

bool CellRunner::Heal() {
  SetRelays("mode=pass&hold_after=-1&rate=0");
  // What went silent in the last cell must not lie in wait for this one.
  for (std::size_t i = 0; i < m_fleet->size(); ++i) {
    Page(m_fleet->vm(i).inner_relay_control, "/_standin/reset");
    Page(m_fleet->vm(i).upstream_relay_control, "/_standin/reset");
  }
  for (std::size_t i = 1; i < m_fleet->size(); ++i) {
    Page(m_fleet->vm(i).upstream_port,
         "/_standin/set?slow_percent=100&draining=0&fail_share=0");
  }
  StartProcesses();
  m_fleet->PublishVms({}, {});
  if (!m_fleet->WaitReady()) {
    return false;
  }
  // The entry must see both upstreams, and its view must be fresh.
  return LocalFleet::WaitFor(
      [this] {
        const JsonValue dump = m_fleet->Dump(kEntry);
        const JsonValue* balance = dump.Find("balance");
        const auto usable = [](const JsonValue& row) {
          const JsonValue* leaving = row.Find("leaving");
          return leaving != nullptr && !*leaving->AsBool();
        };
        const JsonValue* old = dump.Find("view_old");
        return balance != nullptr && balance->AsArray() != nullptr &&
               old != nullptr && !*old->AsBool() &&
               std::ranges::count_if(*balance->AsArray(), usable) == 2;
      },
      milliseconds(15'000));
}

void CellRunner::Begin(const Cell& cell, Call& call) {
  call.id = "cell-" + std::to_string(++m_calls);
  for (std::size_t i = 0; i < m_fleet->size(); ++i) {
    Page(m_fleet->vm(i).control_port, "/arm");
  }
  if (cell.step == Step::kStarted) {
    SetRelays("hold_after=0");
  } else if (cell.step == Step::kBodyHalf) {
    SetRelays("hold_after=" + std::to_string(kBodyBytes / 2));
    // Only the hop to the upstream is to be held.
    for (std::size_t i = 0; i < m_fleet->size(); ++i) {
      Page(m_fleet->vm(i).inner_relay_control, "/_standin/set?hold_after=-1");
    }
  }
  if (cell.step == Step::kStarted) {
    for (std::size_t i = 0; i < m_fleet->size(); ++i) {
      Page(m_fleet->vm(i).inner_relay_control, "/_standin/set?hold_after=-1");
    }
  }
  const std::size_t size = cell.step == Step::kBodyHalf ? kBodyBytes : 40;
  call.caller =
      std::make_unique<RawConnection>(m_fleet->vm(kEntry).caller_port);
  call.sent = call.caller->Send(
      "POST " + std::string(cell.idempotent ? "/again" : "/once") + "?" +
      QueryOf(cell.step) + " HTTP/1.1\r\nHost: t\r\nX-Load-Id: " + call.id +
      "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
      std::string(size, 'b'));
}

bool CellRunner::WaitForStep(const Cell& cell, Call& call) {
  return LocalFleet::WaitFor(
      [&] {
        for (std::size_t i = 0; i < m_fleet->size(); ++i) {
          const LocalVm& vm = m_fleet->vm(i);
          bool here = false;
          if (!HoldName(cell.step).empty()) {
            const std::string held = Page(vm.control_port, "/held");
            here = held != "0" && !held.empty();
          } else if (i == kEntry) {
            continue;
          } else if (cell.step == Step::kStarted ||
                     cell.step == Step::kBodyHalf) {
            here = ValueOf(Page(vm.upstream_relay_control, "/_standin/state"),
                           "held") > 0;
          } else if (cell.step == Step::kRunning) {
            here = ValueOf(Page(vm.upstream_port, "/_standin/state"),
                           "running") > 0;
          } else {
            here =
                ValueOf(Page(vm.upstream_port, "/_standin/state"), "paced") > 0;
          }
          if (here) {
            call.holder = i == kEntry ? 1 : i;
            return true;
          }
        }
        return false;
      },
      kStepLimit);
}

void CellRunner::Release() {
  SetRelays("hold_after=-1");
  for (std::size_t i = 0; i < m_fleet->size(); ++i) {
    if (m_fleet->vm(i).node->Running()) {
      Page(m_fleet->vm(i).control_port, "/release");
    }
  }
}

void CellRunner::Finish(Call& call) {
  call.answer =
      call.caller->connected() ? call.caller->Read(kReplyLimit) : HttpAnswer{};
}

void CellRunner::CheckReply(const Cell& cell, Call& call, CellResult& result) {
  const HttpAnswer& answer = call.answer;
  const bool may_be_cut = std::ranges::any_of(cell.faults, CutsCaller);
  if (!answer.whole) {
    result.outcome = "cut";
    if (!may_be_cut || !answer.raw.empty()) {
      result.faults_found.push_back("no whole reply: " + answer.raw);
    }
    return;
  }
  const std::string claim = answer.Field("yuccamast-outcome");
  result.outcome = claim.empty()
                       ? std::to_string(answer.status)
                       : claim + ":" + answer.Field("yuccamast-reason");
  if (claim.empty() && answer.status == 200 &&
      (!answer.body.starts_with("id=" + call.id + " ") ||
       !answer.body.ends_with("END"))) {
    result.faults_found.push_back("not its own whole answer: " + answer.body);
  }
  const bool stopped_only = std::ranges::all_of(cell.faults, IsLeaving);
  if (stopped_only && answer.status != 200) {
    result.faults_found.push_back("a planned stop cut it: " + result.outcome);
  }
}

void CellRunner::CheckRuns(const Cell& cell, Call& call, CellResult& result) {
  const unsigned runs = m_fleet->Ledger()[call.id];
  const std::string claim = call.answer.Field("yuccamast-outcome");
  if (!cell.idempotent && runs > 1) {
    result.faults_found.push_back("ran " + std::to_string(runs) + " times");
  }
  if (claim == "not-run" && runs > 0) {
    result.faults_found.push_back("told not run, but it ran");
  }
  // A caller that left before the start must not have its call run.
  const bool left =
      cell.faults.size() == 1 && (cell.faults.front() == Fault::kCallerGone ||
                                  cell.faults.front() == Fault::kCallerReset);
  if (left && cell.step <= Step::kAdmitted && runs > 0) {
    result.faults_found.push_back("ran although its caller had left");
  }
  // A killed upstream takes its ledger with it.
  const bool ledger_lost =
      std::ranges::find(cell.faults, Fault::kUpstreamKilled) !=
      cell.faults.end();
  if (call.answer.status == 200 && runs == 0 && !ledger_lost) {
    result.faults_found.push_back("answered, but it never ran");
  }
}

std::string CellRunner::Leftovers() {
  std::string left;
  for (std::size_t i = 0; i < m_fleet->size(); ++i) {
    LocalVm& vm = m_fleet->vm(i);
    if (!vm.node->Running()) {
      continue;
    }
    const JsonValue dump = m_fleet->Dump(i);
    const JsonValue* entries = dump.Find("entries");
    if (entries == nullptr || entries->AsArray() == nullptr) {
      continue;  // It is about to end.
    }
    for (const JsonValue& entry : *entries->AsArray()) {
      const JsonValue* calls = entry.Find("calls");
      if (calls != nullptr && !calls->AsArray()->empty()) {
        left += vm.spec.vm + " holds entry calls; ";
      }
    }
    for (const char* key :
         {"exit.running", "exit.queued", "memory.bodies_used"}) {
      if (IntAt(dump, key) > 0) {
        left += vm.spec.vm + " " + key + "; ";
      }
    }
  }
  return left;
}

void CellRunner::CheckNothingLeft(CellResult& result) {
  std::string left;
  LocalFleet::WaitFor(
      [&] {
        left = Leftovers();
        return left.empty();
      },
      kSettleLimit);
  if (!left.empty()) {
    result.faults_found.push_back("left behind: " + left);
  }
}

void CellRunner::Check(const Cell& cell, Call& call, CellResult& result) {
  CheckReply(cell, call, result);
  SetRelays("mode=pass&hold_after=-1");
  CheckNothingLeft(result);
  CheckRuns(cell, call, result);
  // A planned stop must end by itself, without calls left.
  const std::array<std::pair<Fault, std::size_t>, 2> stops = {
      {{Fault::kEntryLeaving, kEntry}, {Fault::kExitLeaving, call.holder}}};
  std::ranges::for_each(stops, [&](const auto& stop) {
    if (cell.faults.size() > 1 || cell.faults.front() != stop.first) {
      return;
    }
    const auto code = m_fleet->vm(stop.second).node->Wait(milliseconds(8000));
    if (code != 0) {
      result.faults_found.push_back("the stopped node's exit code is " +
                                    std::to_string(code.value_or(-999)));
    }
  });
}

CellResult CellRunner::Run(const Cell& cell) {
  CellResult result;
  result.name = cell.Name();
  if (!Heal()) {
    result.faults_found.push_back(
        "the fleet did not heal: " +
        WriteJson(*testing::At(m_fleet->Dump(kEntry), "balance")));
    return result;
  }
  Call call;
  Begin(cell, call);
  if (!WaitForStep(cell, call)) {
    Release();
    Finish(call);
    result.faults_found.push_back("the step was not reached: " +
                                  call.answer.raw);
    return result;
  }
  std::ranges::for_each(cell.faults, [&](Fault fault) { Inject(fault, call); });
  Release();
  Finish(call);
  Check(cell, call, result);
  const bool changed = std::ranges::find(cell.faults, Fault::kConfigChanged) !=
                       cell.faults.end();
  if (changed) {
    m_fleet->Publish(++m_revision,
                     {{"20-rules.json", Rules(kDeadlineMs, false)}});
    std::this_thread::sleep_for(milliseconds(300));
  }
  // The stand-ins count since their start; a fresh one counts from zero.
  for (std::size_t i = 1; i < m_fleet->size(); ++i) {
    m_fleet->vm(i).upstream->Signal(SIGKILL);
    m_fleet->vm(i).upstream->Wait(milliseconds(2000));
  }
  return result;
}

}  // namespace yuccamast::matrix
