#include <algorithm>
#include <array>
#include <iostream>
#include <string_view>

#include "commands.h"
#include "yuccamast/version.h"

namespace {

using yuccamast::RunCheck;
using yuccamast::RunDump;
using yuccamast::RunNode;
using yuccamast::RunStatus;
using yuccamast::RunTrace;

/// A subcommand; `run` gets the arguments from the subcommand's name on.
struct Command {
  std::string_view name;
  std::string_view help;
  int (*run)(int argc, char** argv);
};

constexpr std::array<Command, 5> kCommands = {{
    {"node", "Run a node, the process beside an upstream.", RunNode},
    {"check", "Merge and check a configuration folder.", RunCheck},
    {"dump", "Print the state of a node as JSON.", RunDump},
    {"status", "Print the fleet as one node sees it.", RunStatus},
    {"trace", "Print the log lines of one call from several nodes.", RunTrace},
}};

/// Prints the usage and the list of subcommands; returns the exit code 0.
int PrintHelp(std::ostream& out) {
  out << "Usage: yuccamast COMMAND [OPTIONS]\n\nCommands:\n";
  std::ranges::for_each(kCommands, [&](const Command& command) {
    out << "  " << command.name << std::string(10 - command.name.size(), ' ')
        << command.help << "\n";
  });
  out << "\nRun \"yuccamast COMMAND --help\" for the options of a command.\n";
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string_view name = argc > 1 ? argv[1] : "";
  if (name == "--help" || name == "-h") {
    return PrintHelp(std::cout);
  }
  if (name == "--version") {
    std::cout << "yuccamast " << yuccamast::kVersion << "\n";
    return 0;
  }
  const auto command = std::ranges::find(kCommands, name, &Command::name);
  if (command == kCommands.end()) {
    PrintHelp(std::cerr);
    return yuccamast::kUsageError;
  }
  return command->run(argc - 1, argv + 1);
}
