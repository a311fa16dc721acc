#pragma once

#include <cxxopts.hpp>
#include <functional>
#include <iostream>

/// \file options.h
/// Parsing of the command line for the test doubles, the load driver and the
/// fault matrix.

namespace yuccamast::standin {

/// Parses the arguments and runs `command`, whose result is returned as the
/// exit code. `--help` prints the usage and returns 0. Errors go to stderr: 2
/// for wrong, missing or mistyped options (with the usage), also those that are
/// found when `command` reads them, and 1 for any other std::exception.
inline int RunWithOptions(
    cxxopts::Options& options,
    int argc,
    char** argv,
    const std::function<int(const cxxopts::ParseResult&)>& command) {
  options.add_options()("h,help", "Print this help.");
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return command(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << "\n" << options.help();
    return 2;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
}

}  // namespace yuccamast::standin
