#include <algorithm>
#include <iostream>

#include "arguments.h"
#include "commands.h"
#include "config/describe.h"
#include "yuccamast/config/configuration.h"

namespace yuccamast {

namespace {

/// Prints a line `file= key= fault= [detail=]` for each error; returns the exit
/// code 1.
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

/// Merges the files of `folder` and prints the result or the errors. Returns
/// the exit code.
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
                           "Merges the configuration files of a folder in "
                           "the order of their names and prints the result "
                           "as JSON, or a line for each error.");
  options.positional_help("FOLDER");
  options.add_options()("folder", "Folder with the configuration files.",
                        cxxopts::value<std::string>());
  options.parse_positional({"folder"});
  return ParseAndRun(options, argc, argv, [](const auto& parsed) {
    return CheckFolder(parsed["folder"].template as<std::string>());
  });
}

}  // namespace yuccamast
