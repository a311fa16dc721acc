#include "matrix/plan.h"

#include <random>

namespace yuccamast::matrix {

std::vector<Cell> SingleCells() {
  std::vector<Cell> cells;
  for (std::size_t step = 0; step < kStepNames.size(); ++step) {
    for (std::size_t fault = 0; fault < kFaultNames.size(); ++fault) {
      for (const bool idempotent : {false, true}) {
        cells.push_back(
            {static_cast<Step>(step), {static_cast<Fault>(fault)}, idempotent});
      }
    }
  }
  return cells;
}

std::vector<Cell> PairCells(std::size_t count, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<Cell> cells;
  while (cells.size() < count) {
    const auto step = static_cast<Step>(random() % kStepNames.size());
    const auto first = static_cast<Fault>(random() % kFaultNames.size());
    const auto second = static_cast<Fault>(random() % kFaultNames.size());
    if (first != second) {
      cells.push_back({step, {first, second}, random() % 2 == 0});
    }
  }
  return cells;
}

}  // namespace yuccamast::matrix
