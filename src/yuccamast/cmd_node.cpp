#include <algorithm>
#include <csignal>
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

/// Logs a line for each wrong key, or one with the detail if the file cannot be
/// read or is not JSON. Sets up the log with defaults for that: level and VM id
/// would come from the settings that were refused. Returns the exit code 1.
int ReportSettingsError(const SettingsError& error) {
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

/// What a node is constructed from: the parsed settings, and the hooks that a
/// platform's adapter adds.
struct NodeSetup {
  NodeSettings settings;
  NodeHooks hooks;
};

/// The content of a file, or an error with its path.
Result<std::string, SettingsError> ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) {
    return SettingsError{"cannot read the settings file " + file, {}};
  }
  return text.str();
}

/// Parses the text of a settings file and applies the platform's adapter if the
/// settings have one.
Result<NodeSetup, SettingsError> ParseNodeSetup(const std::string& text) {
  auto settings = ParseSettings(text);
  if (!settings) {
    return settings.error();
  }
  NodeSetup setup{std::move(settings.value()), {}};
  if (platform::HasAdapterSettings(setup.settings)) {
    auto adapter_hooks = platform::ApplyAdapterSettings(setup.settings);
    if (!adapter_hooks) {
      return adapter_hooks.error();
    }
    setup.hooks = std::move(adapter_hooks.value());
  }
  return setup;
}

/// Implements NodeHooks::reload_settings: reads the file again and parses it if
/// it differs from `last_text`, or always if `forced`; `last_text` is then set
/// to its text. Returns nothing if the file cannot be read or is not parsed.
std::optional<Result<NodeSettings, SettingsError>>
ReloadSettings(const std::string& file, std::string& last_text, bool forced) {
  const auto text = ReadFile(file);
  if (!text) {
    // The file may be absent for a moment while it is replaced; the next check
    // reads it.
    return std::nullopt;
  }
  if (!forced && text.value() == last_text) {
    return std::nullopt;
  }
  last_text = text.value();
  auto setup = ParseNodeSetup(last_text);
  if (!setup) {
    return Result<NodeSettings, SettingsError>(setup.error());
  }
  return Result<NodeSettings, SettingsError>(std::move(setup.value().settings));
}

/// Keeps signals from ending the process. SIGPIPE comes when the reader of the
/// log has gone. SIGHUP may come before the node handles it; until then the
/// settings are yet to be read, or are polled.
void IgnoreSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);
}

/// Runs a node with the settings in `file` until its planned stop has ended.
/// Returns the exit code.
int RunFromSettings(const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) {
    return ReportSettingsError(text.error());
  }
  auto setup = ParseNodeSetup(text.value());
  if (!setup) {
    return ReportSettingsError(setup.error());
  }
  auto [settings, hooks] = std::move(setup.value());
  hooks.reload_settings =
      [file, last_text = std::make_shared<std::string>(text.value())](
          bool forced) { return ReloadSettings(file, *last_text, forced); };
  SetUpLog(settings.log_level, settings.vm);
  try {
    Node node(std::move(settings), std::move(hooks));
    return node.Run();
  } catch (const std::exception& error) {
    Log(LogLevel::kError, LogEvent::kInternal, {{"detail", error.what()}});
    return 1;
  }
}

}  // namespace

int RunNode(int argc, char** argv) {
  IgnoreSignals();
  cxxopts::Options options("yuccamast node",
                           "Runs a node, the process beside an upstream, "
                           "until SIGTERM or SIGINT and the planned stop that "
                           "follows.");
  const char* default_path = std::getenv(kSettingsVariable);
  options.add_options()("settings",
                        "Path of the settings file (JSON). Default: the value "
                        "of the environment variable YUCCAMAST_SETTINGS.",
                        cxxopts::value<std::string>()->default_value(
                            default_path == nullptr ? "" : default_path));
  return ParseAndRun(options, argc, argv, [](const auto& parsed) -> int {
    const int exit_code =
        RunFromSettings(parsed["settings"].template as<std::string>());
    // Ends the process without joining the threads that read the platform,
    // which may still be in a blocking call.
    CloseLog();
    std::_Exit(exit_code);
  });
}

}  // namespace yuccamast
