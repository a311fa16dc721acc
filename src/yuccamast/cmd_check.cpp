#include <algorithm>
#include <iostream>

#include "arguments.h"
#include "commands.h"
#include "config/describe.h"
#include "yuccamast/config/configuration.h"

namespace yuccamast {

namespace {

int PrintErrors(const ConfigErrors& errors) {
  std::ranges::for_each(errors, [](const ConfigError& error) {
    std::cout << "file=" << error.file << " key=" << error.key
              << " fault=" << NameOf(error.fault);
    if (!error.detail.empty()) {
      std::cout << " detail=\"" << error.detail << "\"";
    }
    std::cout << "\n";
  });
  return 1;
}

int CheckFolder(const std::string& folder) {
  const auto files = ReadConfigFolder(folder);
  if (!files) {
    return PrintErrors(files.error());
  }
  const auto merged = MergeConfiguration(files.value(), 0);
  if (!merged) {
    return PrintErrors(merged.error());
  }
  std::cout << WriteJson(Describe(merged.value()), true) << "\n";
  return 0;
}

}  // namespace

int RunCheck(int argc, char** argv) {
  cxxopts::Options options("yuccamast check",
                           "Merges a configuration folder in name order and "
                           "prints the result or every error.");
  options.positional_help("FOLDER");
  options.add_options()("folder", "The folder.", cxxopts::value<std::string>());
  options.parse_positional({"folder"});
  return WithArguments(options, argc, argv, [](const auto& parsed) {
    return CheckFolder(parsed["folder"].template as<std::string>());
  });
}

}  // namespace yuccamast
