#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

#include "matrix/cell_runner.h"
#include "standin/options.h"

/// `make fault-matrix`: every fault at every step, then pairs of faults.

namespace yuccamast::matrix {

namespace {

/// Cells that are known to fail, from KNOWN-RED.txt: `matrix CELL ...`.
std::vector<std::string> ReadKnownRed(const std::string& file) {
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

std::vector<CellResult> RunAll(const std::vector<Cell>& cells,
                               std::size_t workers,
                               bool verbose) {
  std::vector<CellResult> results(cells.size());
  std::atomic<std::size_t> next{0};
  std::mutex print;
  std::vector<std::thread> threads;
  for (std::size_t worker = 0; worker < workers; ++worker) {
    threads.emplace_back([&] {
      CellRunner runner;
      for (std::size_t i = next++; i < cells.size(); i = next++) {
        results[i] = runner.Run(cells[i]);
        const std::lock_guard lock(print);
        for (const std::string& fault : results[i].faults_found) {
          std::cout << "FAIL " << results[i].name << ": " << fault << std::endl;
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

void WriteTable(const std::string& file,
                const std::vector<Cell>& cells,
                const std::vector<CellResult>& results) {
  std::map<std::string, std::map<std::string, std::string>> table;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    if (cells[i].faults.size() == 1) {
      std::string& text = table[std::string(NameOf(cells[i].faults.front()))]
                               [std::string(NameOf(cells[i].step))];
      text += (text.empty() ? "" : " / ") +
              (results[i].faults_found.empty() ? "" : std::string("**")) +
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

int Run(const cxxopts::ParseResult& parsed) {
  const auto seed = parsed["seed"].as<std::uint64_t>();
  std::vector<Cell> cells;
  const auto every = parsed["every"].as<std::size_t>();
  const auto only = parsed["only"].as<std::string>();
  const auto all = SingleCells();
  for (std::size_t i = 0; i < all.size(); ++i) {
    if ((i + seed) % every == 0) {
      cells.push_back(all[i]);
    }
  }
  const auto pairs = PairCells(parsed["pairs"].as<std::size_t>(), seed);
  cells.insert(cells.end(), pairs.begin(), pairs.end());
  std::erase_if(cells, [&](const Cell& cell) {
    return cell.Name().find(only) == std::string::npos;
  });
  std::cout << "matrix seed=" << seed << " cells=" << cells.size() << std::endl;
  const auto results = RunAll(cells, parsed["workers"].as<std::size_t>(),
                              parsed["verbose"].as<bool>());
  if (!parsed["table"].as<std::string>().empty()) {
    WriteTable(parsed["table"].as<std::string>(), cells, results);
  }
  const auto red = ReadKnownRed(parsed["known-red"].as<std::string>());
  std::size_t passed = 0;
  std::size_t known = 0;
  std::size_t failed = 0;
  std::ranges::for_each(results, [&](const CellResult& result) {
    const bool listed = std::ranges::find(red, result.name) != red.end();
    if (result.faults_found.empty()) {
      ++passed;
    } else if (listed) {
      ++known;
    } else {
      ++failed;
    }
  });
  std::cout << "matrix cells=" << cells.size() << " passed=" << passed
            << " known_red=" << known << " failed=" << failed << std::endl;
  return failed == 0 && !cells.empty() ? 0 : 1;
}

int RunMain(int argc, char** argv) {
  cxxopts::Options options("fault_matrix", "Every fault at every step.");
  options.add_options()("seed", "Seed of pairs and subset",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "every", "Run one single-fault cell in this many",
      cxxopts::value<std::size_t>()->default_value("1"))(
      "pairs", "Number of pairs of faults",
      cxxopts::value<std::size_t>()->default_value("200"))(
      "only", "Run only cells whose name holds this",
      cxxopts::value<std::string>()->default_value(""))(
      "workers", "Fleets at a time",
      cxxopts::value<std::size_t>()->default_value("4"))(
      "table", "Write the table of outcomes to this file",
      cxxopts::value<std::string>()->default_value(""))(
      "known-red", "List of cells that are known to fail",
      cxxopts::value<std::string>()->default_value("KNOWN-RED.txt"))(
      "verbose", "Print each cell",
      cxxopts::value<bool>()->default_value("false"));
  return standin::WithOptions(options, argc, argv, Run);
}

}  // namespace

}  // namespace yuccamast::matrix

int main(int argc, char** argv) {
  return yuccamast::matrix::RunMain(argc, argv);
}
