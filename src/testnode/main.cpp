#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>

#include "log/log.h"
#include "node/node.h"
#include "outcome/injected_fault.h"

/// A node for tests: `yuccamast-testnode node --settings FILE`.
///
/// It differs from the shipped node in two ways:
/// - Calls can be held, so that a test can inject a fault at a chosen step.
///   Three pages of the control address do this: after `/arm`, a call whose
///   target contains `hold=STEP` (the name of a `CallStep`) is held at that
///   step; `/release` resumes all held calls and disarms; `/held` returns the
///   number of held calls.
/// - The environment variable YUCCAMAST_PLANT names an `InjectedFault` that is
///   enabled in the node, to check that the tests detect it.
///
/// Exit code: 1 if the settings file is missing or malformed, 2 for a wrong
/// number of arguments (only FILE is read), else that of the node.

namespace {

using yuccamast::CallStep;
using yuccamast::ControlReply;

/// Calls that are held at a step. Thread-safe. The `resume` functions of the
/// node only post to an event loop, so they may be called under the lock.
class HeldCalls {
 public:
  /// Calls `resume` at once, or on `/release` if the call is to be held.
  void AtStep(CallStep step,
              std::string_view target,
              std::function<void()> resume) {
    const std::string marker = "hold=" + std::string(NameOf(step));
    if (target.find(marker) == std::string_view::npos) {
      resume();
      return;
    }
    const std::lock_guard lock(m_mutex);
    if (!m_armed) {
      resume();
      return;
    }
    m_held.push_back(std::move(resume));
  }

  /// Answers the pages `/held`, `/release` and `/arm` of the control address;
  /// returns nothing for any other path.
  std::optional<ControlReply> HandlePage(const std::string& path) {
    const std::lock_guard lock(m_mutex);
    if (path == "/held") {
      return ControlReply{200, "text/plain", std::to_string(m_held.size())};
    }
    if (path == "/release") {
      std::ranges::for_each(m_held, [](const auto& resume) { resume(); });
      m_held.clear();
      m_armed = false;
      return ControlReply{200, "text/plain", "released\n"};
    }
    if (path == "/arm") {
      m_armed = true;
      return ControlReply{200, "text/plain", "armed\n"};
    }
    return std::nullopt;
  }

 private:
  std::mutex m_mutex;
  std::vector<std::function<void()>> m_held;
  bool m_armed = false;
};

int Serve(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  auto settings = yuccamast::ParseSettings(text.str());
  if (!settings) {
    std::cerr << "yuccamast-testnode: settings file is missing or malformed\n";
    return 1;
  }
  yuccamast::SetUpLog(settings.value().log_level, settings.value().vm);
  HeldCalls held;
  yuccamast::NodeHooks hooks;
  hooks.at_step = [&](CallStep step, std::string_view target,
                      std::function<void()> resume) {
    held.AtStep(step, target, std::move(resume));
  };
  hooks.extra_page = [&](const std::string& path) {
    return held.HandlePage(path);
  };
  yuccamast::Node node(std::move(settings.value()), std::move(hooks));
  return node.Run();
}

}  // namespace

namespace yuccamast {

bool IsFaultInjected(InjectedFault fault) {
  // Values of YUCCAMAST_PLANT, in the order of `InjectedFault`.
  constexpr std::array<std::string_view, 5> kFaultNames = {
      "resend", "false_claim", "lost_cancel", "cut_reply", "slot_leak"};
  static const char* const kInjectedName = std::getenv("YUCCAMAST_PLANT");
  return kInjectedName != nullptr &&
         kFaultNames.at(static_cast<std::size_t>(fault)) == kInjectedName;
}

}  // namespace yuccamast

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "Usage: yuccamast-testnode node --settings FILE\n";
    return 2;
  }
  const int code = Serve(argv[3]);
  yuccamast::CloseLog();
  std::_Exit(code);
}
