#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "matrix/plan.h"
#include "support/local_fleet.h"

/// \file cell_runner.h
/// Runs cells of the fault matrix on a fleet of its own: one entry without an
/// upstream, two upstreams with nodes, relays before nodes and upstreams.

namespace yuccamast::matrix {

/// What a cell showed. Empty `faults_found` means that it passed.
struct CellResult {
  std::string name;
  std::vector<std::string> faults_found;
  std::string outcome;  ///< What the caller got, for the table.
};

/// Not thread-safe; each thread has its own.
class CellRunner {
 public:
  CellRunner();

  CellResult Run(const Cell& cell);

 private:
  struct Call;

  bool Heal();
  void StartProcesses();
  void SetRelays(const std::string& query);
  void Begin(const Cell& cell, Call& call);
  bool WaitForStep(const Cell& cell, Call& call);
  void Release();
  bool InjectInProcess(Fault fault, Call& call);
  void Inject(Fault fault, Call& call);
  void Pause(testing::Process& process, int milliseconds);
  void Finish(Call& call);
  void Check(const Cell& cell, Call& call, CellResult& result);
  void CheckReply(const Cell& cell, Call& call, CellResult& result);
  void CheckRuns(const Cell& cell, Call& call, CellResult& result);
  void CheckNothingLeft(CellResult& result);
  std::string Leftovers();
  std::string Rules(int deadline_ms, bool flipped) const;
  std::string Page(std::uint16_t port, const std::string& target);

  std::uint64_t m_revision = 1;
  std::uint64_t m_calls = 0;
  std::unique_ptr<testing::LocalFleet> m_fleet;
};

}  // namespace yuccamast::matrix
