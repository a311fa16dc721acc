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

/// Settings as read from their file, with the hooks that follow from them.
struct Prepared {
  NodeSettings settings;
  NodeHooks hooks;
};

Result<std::string, SettingsError> ReadText(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) {
    return SettingsError{"cannot read " + file, {}};
  }
  return text.str();
}

Result<Prepared, SettingsError> Prepare(const std::string& text) {
  auto settings = ParseSettings(text);
  if (!settings) {
    return settings.error();
  }
  Prepared prepared{std::move(settings.value()), {}};
  if (platform::IsFor(prepared.settings)) {
    auto adapted = platform::Adapt(prepared.settings);
    if (!adapted) {
      return adapted.error();
    }
    prepared.hooks = std::move(adapted.value());
  }
  return prepared;
}

/// Reads the file again when it has changed, or when asked.
std::optional<Result<NodeSettings, SettingsError>>
Reread(const std::string& file, std::string& last, bool asked) {
  const auto text = ReadText(file);
  if (!text) {
    // Not there for a moment, as while it is replaced: look again later.
    return std::nullopt;
  }
  if (!asked && text.value() == last) {
    return std::nullopt;
  }
  last = text.value();
  auto prepared = Prepare(last);
  if (!prepared) {
    return Result<NodeSettings, SettingsError>(prepared.error());
  }
  return Result<NodeSettings, SettingsError>(
      std::move(prepared.value().settings));
}

int Serve(const std::string& file) {
  const auto text = ReadText(file);
  if (!text) {
    return RefuseSettings(text.error());
  }
  auto prepared = Prepare(text.value());
  if (!prepared) {
    return RefuseSettings(prepared.error());
  }
  auto [settings, hooks] = std::move(prepared.value());
  hooks.reload_settings =
      [file, last = std::make_shared<std::string>(text.value())](bool asked) {
        return Reread(file, *last, asked);
      };
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
    CloseLog();
    std::_Exit(code);
  });
}

}  // namespace yuccamast
