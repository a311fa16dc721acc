#pragma once

#include <cxxopts.hpp>
#include <functional>
#include <iostream>

#include "commands.h"
#include "yuccamast/version.h"

/// \file arguments.h
/// What the subcommands share in parsing their arguments.

namespace yuccamast {

/// Parses by `options`, answers --help and --version, and runs `body` on the
/// rest. A wrong call prints why and returns `kUsageError`.
inline int WithArguments(
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
