#include <algorithm>
#include <fstream>
#include <iostream>

#include "arguments.h"
#include "commands.h"
#include "log/trace.h"

namespace yuccamast {

namespace {

/// Prints the lines of the call `id` from all log files. Returns the exit code,
/// 1 if a file cannot be opened or there is no such line.
int PrintTrace(const std::string& id, const std::vector<std::string>& files) {
  std::vector<NodeLog> logs;
  for (const std::string& file : files) {
    std::ifstream in(file);
    if (!in) {
      std::cerr << "cannot open the log file " << file << "\n";
      return 1;
    }
    NodeLog log{file, {}};
    for (std::string line; std::getline(in, line);) {
      log.lines.push_back(line);
    }
    logs.push_back(std::move(log));
  }
  const std::vector<std::string> lines = TraceCall(id, logs);
  std::ranges::for_each(
      lines, [](const std::string& line) { std::cout << line << "\n"; });
  if (lines.empty()) {
    std::cerr << "no log line of call " << id
              << " in the given files; calls answered without an error at the "
                 "first attempt are logged by sampling, see "
                 "docs/OPERATIONS.md\n";
    return 1;
  }
  return 0;
}

}  // namespace

int RunTrace(int argc, char** argv) {
  cxxopts::Options options("yuccamast trace",
                           "Prints the log lines of one call from the log "
                           "files of several nodes, in causal order. The "
                           "order follows from the numbers of the attempts, "
                           "so the nodes' clocks need not agree.");
  options.positional_help("ID FILE...");
  options.add_options()("id", "Id of the call, as the caller received it.",
                        cxxopts::value<std::string>())(
      "files", "Log files of nodes.",
      cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"id", "files"});
  return ParseAndRun(options, argc, argv, [](const auto& parsed) {
    return PrintTrace(parsed["id"].template as<std::string>(),
                      parsed["files"].template as<std::vector<std::string>>());
  });
}

}  // namespace yuccamast
