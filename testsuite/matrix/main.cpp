#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

#include "matrix/cell_runner.h"
#include "standin/options.h"

/// `make fault-matrix`: runs the cells of the fault matrix (plan.h), first
/// every fault at every step, then random pairs of faults.
///
/// Prints a line `FAIL CELL: TEXT` for each violation, and at the end the
/// numbers of cells that passed and failed; failed cells that KNOWN-RED.txt
/// lists are counted apart. Exit code: 0 if at least one cell was selected and
/// none failed but those listed, 2 for a wrong command line, else 1.

namespace yuccamast::matrix {

namespace {

/// Returns the cells that are known to fail: those in lines `matrix CELL ...`
/// of KNOWN-RED.txt. A file that can't be read counts as empty.
std::vector<std::string> ReadKnownFailures(const std::string& file) {
  std::ifstream in(file);
  std::vector<std::string> cells;
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with("matrix ")) {
      const std::string rest = line.substr(7);
      cells.push_back(rest.substr(0, rest.find(' ')));
    }
  }
  return cells;
}

/// Runs the cells on `workers` threads, each with its own fleet. The results
/// are in the order of the cells.
std::vector<CellResult> RunCells(const std::vector<Cell>& cells,
                                 std::size_t workers,
                                 bool verbose) {
  std::vector<CellResult> results(cells.size());
  std::atomic<std::size_t> next{0};
  std::mutex output_mutex;
  std::vector<std::thread> threads;
  for (std::size_t worker = 0; worker < workers; ++worker) {
    threads.emplace_back([&] {
      CellRunner runner;
      for (std::size_t i = next++; i < cells.size(); i = next++) {
        results[i] = runner.Run(cells[i]);
        const std::lock_guard lock(output_mutex);
        for (const std::string& violation : results[i].violations) {
          std::cout << "FAIL " << results[i].name << ": " << violation
                    << std::endl;
        }
        if (verbose) {
          std::cout << results[i].name << " -> " << results[i].outcome
                    << std::endl;
        }
      }
    });
  }
  std::ranges::for_each(threads, [](std::thread& thread) { thread.join(); });
  return results;
}

/// Writes a Markdown table of the outcomes of the single-fault cells: a row for
/// each fault, a column for each step, in a field the outcomes of both kinds of
/// rule. `**` marks a cell that failed.
void WriteTable(const std::string& file,
                const std::vector<Cell>& cells,
                const std::vector<CellResult>& results) {
  std::map<std::string, std::map<std::string, std::string>> table;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    if (cells[i].faults.size() == 1) {
      std::string& text = table[std::string(NameOf(cells[i].faults.front()))]
                               [std::string(NameOf(cells[i].step))];
      text += (text.empty() ? "" : " / ") +
              (results[i].violations.empty() ? "" : std::string("**")) +
              results[i].outcome;
    }
  }
  std::ofstream out(file);
  out << "| fault |";
  std::ranges::for_each(kStepNames, [&](auto name) { out << name << "|"; });
  out << "\n|---|" << std::string(kStepNames.size() * 4, '-') << "\n";
  for (const auto& item : table) {
    out << "| " << item.first << " |";
    std::ranges::for_each(kStepNames, [&](auto name) {
      const auto cell = item.second.find(std::string(name));
      out << (cell == item.second.end() ? "" : cell->second) << "|";
    });
    out << "\n";
  }
}

/// Selects the cells by the options, runs them, and prints the result.
int Run(const cxxopts::ParseResult& parsed) {
  const auto seed = parsed["seed"].as<std::uint64_t>();
  std::vector<Cell> cells;
  const auto every = parsed["every"].as<std::size_t>();
  const auto name_part = parsed["only"].as<std::string>();
  const auto single_cells = SingleCells();
  for (std::size_t i = 0; i < single_cells.size(); ++i) {
    if ((i + seed) % every == 0) {
      cells.push_back(single_cells[i]);
    }
  }
  const auto pairs = PairCells(parsed["pairs"].as<std::size_t>(), seed);
  cells.insert(cells.end(), pairs.begin(), pairs.end());
  std::erase_if(cells, [&](const Cell& cell) {
    return cell.Name().find(name_part) == std::string::npos;
  });
  std::cout << "matrix seed=" << seed << " cells=" << cells.size() << std::endl;
  const auto results = RunCells(cells, parsed["workers"].as<std::size_t>(),
                                parsed["verbose"].as<bool>());
  if (!parsed["table"].as<std::string>().empty()) {
    WriteTable(parsed["table"].as<std::string>(), cells, results);
  }
  const auto known_failures =
      ReadKnownFailures(parsed["known-red"].as<std::string>());
  std::size_t passed = 0;
  std::size_t known_failed = 0;
  std::size_t failed = 0;
  std::ranges::for_each(results, [&](const CellResult& result) {
    const bool listed =
        std::ranges::find(known_failures, result.name) != known_failures.end();
    if (result.violations.empty()) {
      ++passed;
    } else if (listed) {
      ++known_failed;
    } else {
      ++failed;
    }
  });
  std::cout << "matrix cells=" << cells.size() << " passed=" << passed
            << " known_red=" << known_failed << " failed=" << failed
            << std::endl;
  return failed == 0 && !cells.empty() ? 0 : 1;
}

int RunMain(int argc, char** argv) {
  cxxopts::Options options(
      "fault_matrix",
      "Runs every fault at every step of a call, then pairs of faults.");
  options.add_options()(
      "seed", "Seed of the pairs; also selects the subset for --every",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "every", "Run one of every N single-fault cells",
      cxxopts::value<std::size_t>()->default_value("1"))(
      "pairs", "Number of random cells with two faults",
      cxxopts::value<std::size_t>()->default_value("200"))(
      "only", "Run only cells whose name contains this text",
      cxxopts::value<std::string>()->default_value(""))(
      "workers", "Threads, each with its own fleet",
      cxxopts::value<std::size_t>()->default_value("4"))(
      "table", "Write a Markdown table of the outcomes to this file",
      cxxopts::value<std::string>()->default_value(""))(
      "known-red", "File that lists the cells known to fail",
      cxxopts::value<std::string>()->default_value("KNOWN-RED.txt"))(
      "verbose", "Print the outcome of each cell",
      cxxopts::value<bool>()->default_value("false"));
  return standin::RunWithOptions(options, argc, argv, Run);
}

}  // namespace

}  // namespace yuccamast::matrix

int main(int argc, char** argv) {
  return yuccamast::matrix::RunMain(argc, argv);
}
