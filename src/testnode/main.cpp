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

/// A node for tests: `yuccamast-testnode node --settings FILE`. A call whose
/// target holds `hold=STEP` stops at that step between `/arm` and `/release`,
/// pages of the control address; `/held` counts the calls that are stopped.

namespace {

using yuccamast::CallStep;
using yuccamast::ControlReply;

/// Calls that are stopped. Thread-safe.
class HeldCalls {
 public:
  void AtStep(CallStep step,
              std::string_view target,
              std::function<void()> go) {
    const std::string mark = "hold=" + std::string(NameOf(step));
    if (target.find(mark) == std::string_view::npos) {
      go();
      return;
    }
    const std::lock_guard lock(m_mutex);
    if (!m_armed) {
      go();
      return;
    }
    m_held.push_back(std::move(go));
  }

  std::optional<ControlReply> Page(const std::string& path) {
    const std::lock_guard lock(m_mutex);
    if (path == "/held") {
      return ControlReply{200, "text/plain", std::to_string(m_held.size())};
    }
    if (path == "/release") {
      std::ranges::for_each(m_held, [](const auto& go) { go(); });
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
    std::cerr << "bad settings\n";
    return 1;
  }
  yuccamast::SetUpLog(settings.value().log_level, settings.value().vm);
  HeldCalls held;
  yuccamast::NodeHooks hooks;
  hooks.at_step = [&](CallStep step, std::string_view target,
                      std::function<void()> go) {
    held.AtStep(step, target, std::move(go));
  };
  hooks.extra_page = [&](const std::string& path) { return held.Page(path); };
  yuccamast::Node node(std::move(settings.value()), std::move(hooks));
  return node.Run();
}

}  // namespace

namespace yuccamast {

bool IsFaultInjected(InjectedFault fault) {
  constexpr std::array<std::string_view, 5> kNames = {
      "resend", "false_claim", "lost_cancel", "cut_reply", "slot_leak"};
  static const char* const kPlanted = std::getenv("YUCCAMAST_PLANT");
  return kPlanted != nullptr &&
         kNames.at(static_cast<std::size_t>(fault)) == kPlanted;
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
