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
/// `body` with the result unless one of these two was given. Returns the exit
/// code: that of `body`, 0 after --help and --version, or `kUsageError` after
/// arguments that cannot be parsed or are missing, when the reason and the help
/// text are printed to standard error.
inline int ParseAndRun(
    cxxopts::Options& options,
    int argc,
    char** argv,
    const std::function<int(const cxxopts::ParseResult&)>& body) {
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
    return body(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << "\n" << options.help();
    return kUsageError;
  }
}

}  // namespace yuccamast
