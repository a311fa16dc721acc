#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "matrix/plan.h"
#include "support/local_fleet.h"

/// \file cell_runner.h
/// Runs cells of the fault matrix and checks the guarantees of the load
/// balancer.
///
/// Each runner has a fleet of its own: one node as the entry, two upstreams
/// with nodes beside them, and relays before all nodes and upstreams. The
/// upstream `shop-a` is in the entry's data centre, `shop-b` in another.
///
/// For a cell, the runner restores the fleet, sends one call, waits until the
/// call is held at the cell's step, injects the faults in turn, resumes the
/// call, and reads the reply. Then it checks that
/// - the caller got one complete reply; only if the entry was killed or the
///   caller closed its connection may there be none, never a part of one;
/// - a reply with status 200 is complete and belongs to this call;
/// - graceful stops alone didn't fail the call, and the stopped node ended by
///   itself (the latter only in cells with one fault);
/// - a call that isn't idempotent ran at most once; one that was refused as
///   "not run", or whose caller left before it started (only in cells with one
///   fault), didn't run; and one that was answered with 200 ran;
/// - all nodes released what they held for the call.

namespace yuccamast::matrix {

/// Result of a cell. It passed if `violations` is empty.
struct CellResult {
  std::string name;
  std::vector<std::string> violations;  ///< Broken guarantees, as texts.
  std::string outcome;  ///< Status, `OUTCOME:REASON` or `cut`, for the table.
};

/// Not thread-safe. The thread that uses a runner must have constructed it and
/// outlive it, see `testing::Process`.
class CellRunner {
 public:
  /// Starts the fleet. Blocks until it is ready, at most 15 s.
  CellRunner();

  /// Runs one cell. Blocks until it is over, usually for a few seconds or less.
  /// A fleet that can't be restored, or a step that isn't reached, counts as a
  /// violation.
  CellResult Run(const Cell& cell);

 private:
  struct Call;

  /// Undoes the faults of the cell before: restarts processes, resets the
  /// relays and the upstreams, and waits until the entry knows both upstreams.
  /// Returns false if the time for this runs out.
  bool RestoreFleet();
  /// Starts what has ended, and replaces nodes that are leaving.
  void RestartProcesses();
  /// Sends `/_standin/set?QUERY` to all relays.
  void ConfigureRelays(const std::string& query);
  /// Sends the call, so that it will be held at the step of the cell.
  void StartCall(const Cell& cell, Call& call);
  /// Waits until the call is held at the step, and notes by which VM. Returns
  /// false if the time runs out.
  bool WaitForStep(const Cell& cell, Call& call);
  /// Resumes calls that nodes hold, and bytes that relays hold.
  void ReleaseHeldCalls();
  /// Injects a fault of a process: kill, pause, graceful stop. Returns false if
  /// `fault` is of another kind.
  bool InjectProcessFault(Fault fault, Call& call);
  /// Injects any fault.
  void InjectFault(Fault fault, Call& call);
  /// Stops a process by SIGSTOP and resumes it. Blocks meanwhile.
  void PauseProcess(testing::Process& process, int milliseconds);
  void AwaitReply(Call& call);
  void CheckGuarantees(const Cell& cell, Call& call, CellResult& result);
  void CheckReply(const Cell& cell, Call& call, CellResult& result);
  void CheckRuns(const Cell& cell, Call& call, CellResult& result);
  /// Waits until the nodes hold nothing for calls any more.
  void CheckResourcesReleased(CellResult& result);
  /// Describes what the nodes hold: calls, queue places, slots, memory of
  /// bodies.
  std::string UnreleasedResources();
  /// Configuration with one idempotent rule and one that isn't; with
  /// `swap_idempotence` the other way round.
  std::string RulesText(int deadline_ms, bool swap_idempotence) const;
  /// Returns the body of a control page, or "" if it can't be read within 2 s.
  std::string GetPage(std::uint16_t port, const std::string& target);

  std::uint64_t m_revision = 1;  ///< Newest published configuration.
  std::uint64_t m_calls = 0;     ///< Calls sent, for their ids.
  std::unique_ptr<testing::LocalFleet> m_fleet;
};

}  // namespace yuccamast::matrix
