#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "arguments.h"
#include "commands.h"
#include "log/log.h"
#include "node/node.h"
#include "platform/adapter.h"

namespace yuccamast {

namespace {

/// Environment variable with the path of the settings file.
constexpr const char* kSettingsVariable = "YUCCAMAST_SETTINGS";

int RefuseSettings(const SettingsError& error) {
  SetUpLog(LogLevel::kInfo, "");
  if (error.fields.empty()) {
    Log(LogLevel::kError, LogEvent::kSettingsRefused,
        {{"detail", error.detail}});
  }
  std::ranges::for_each(error.fields, [](const FieldError& field) {
    Log(LogLevel::kError, LogEvent::kSettingsRefused,
        {{"key", field.key}, {"fault", NameOf(field.fault)}});
  });
  return 1;
}

int Serve(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) {
    return RefuseSettings({"cannot read " + file, {}});
  }
  auto settings = ParseSettings(text.str());
  if (!settings) {
    return RefuseSettings(settings.error());
  }
  NodeHooks hooks;
  if (platform::IsFor(settings.value())) {
    auto adapted = platform::Adapt(settings.value());
    if (!adapted) {
      return RefuseSettings(adapted.error());
    }
    hooks = std::move(adapted.value());
  }
  SetUpLog(settings.value().log_level, settings.value().vm);
  try {
    Node node(std::move(settings.value()), std::move(hooks));
    return node.Run();
  } catch (const std::exception& error) {
    Log(LogLevel::kError, LogEvent::kInternal, {{"detail", error.what()}});
    return 1;
  }
}

}  // namespace

int RunNode(int argc, char** argv) {
  cxxopts::Options options("yuccamast node",
                           "Runs the process beside an upstream until SIGTERM "
                           "and the planned stop that follows.");
  const char* named = std::getenv(kSettingsVariable);
  options.add_options()("settings",
                        "The settings file (JSON); by default the one that "
                        "YUCCAMAST_SETTINGS names.",
                        cxxopts::value<std::string>()->default_value(
                            named == nullptr ? "" : named));
  return WithArguments(options, argc, argv, [](const auto& parsed) -> int {
    const int code = Serve(parsed["settings"].template as<std::string>());
    // The threads that read the platform may still be in a blocking call.
    std::cerr.flush();
    std::_Exit(code);
  });
}

}  // namespace yuccamast
