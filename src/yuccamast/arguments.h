#pragma once

#include <cxxopts.hpp>
#include <functional>
#include <iostream>

#include "commands.h"
#include "yuccamast/version.h"

/// \file arguments.h
/// Common parsing of the subcommands' arguments, based on cxxopts.

namespace yuccamast {

/// Adds --help and --version to `options`, parses the arguments and calls
/// `command` with the result unless one of these two was given. Returns the
/// exit code: that of `command`, or 0 after --help and --version. If an
/// argument cannot be parsed or is missing, even if this is found only when
/// `command` reads it, prints the reason and the help text to standard error
/// and returns `kUsageError`.
inline int ParseAndRun(
    cxxopts::Options& options,
    int argc,
    char** argv,
    const std::function<int(const cxxopts::ParseResult&)>& command) {
  options.add_options()("h,help", "Print this help.")("version",
                                                      "Print the version.");
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (parsed.count("version") > 0) {
      std::cout << "yuccamast " << kVersion << "\n";
      return 0;
    }
    return command(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << "\n" << options.help();
    return kUsageError;
  }
}

}  // namespace yuccamast
