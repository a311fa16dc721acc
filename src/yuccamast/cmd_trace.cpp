#include <algorithm>
#include <fstream>
#include <iostream>

#include "arguments.h"
#include "commands.h"
#include "log/trace.h"

namespace yuccamast {

namespace {

int Trace(const std::string& id, const std::vector<std::string>& files) {
  std::vector<NodeLog> sources;
  for (const std::string& file : files) {
    std::ifstream in(file);
    if (!in) {
      std::cerr << "cannot read " << file << "\n";
      return 1;
    }
    NodeLog source{file, {}};
    for (std::string line; std::getline(in, line);) {
      source.lines.push_back(line);
    }
    sources.push_back(std::move(source));
  }
  const std::vector<std::string> lines = TraceCall(id, sources);
  std::ranges::for_each(
      lines, [](const std::string& line) { std::cout << line << "\n"; });
  if (lines.empty()) {
    std::cerr << "no line of call " << id
              << "; ordinary ends are sampled, see docs/OPERATIONS.md\n";
    return 1;
  }
  return 0;
}

}  // namespace

int RunTrace(int argc, char** argv) {
  cxxopts::Options options("yuccamast trace",
                           "Prints the log lines of one call out of the logs "
                           "of several nodes, in the order of what happened. "
                           "Clocks need not agree: attempts are numbered.");
  options.positional_help("ID FILE...");
  options.add_options()("id", "Id of the call, as the caller was told.",
                        cxxopts::value<std::string>())(
      "files", "Logs of nodes.", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"id", "files"});
  return WithArguments(options, argc, argv, [](const auto& parsed) {
    return Trace(parsed["id"].template as<std::string>(),
                 parsed["files"].template as<std::vector<std::string>>());
  });
}

}  // namespace yuccamast
