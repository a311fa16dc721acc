#pragma once

#include <cxxopts.hpp>
#include <functional>
#include <iostream>

/// \file options.h
/// Parsing of arguments for the stand-ins and the load driver.

namespace yuccamast::standin {

/// Parses, answers --help, and runs `body`. Exit code 2 for a wrong call.
inline int WithOptions(
    cxxopts::Options& options,
    int argc,
    char** argv,
    const std::function<int(const cxxopts::ParseResult&)>& body) {
  options.add_options()("h,help", "Print this help.");
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return body(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << "\n" << options.help();
    return 2;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
}

}  // namespace yuccamast::standin
