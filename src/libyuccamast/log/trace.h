#pragma once

#include <string>
#include <string_view>
#include <vector>

/// \file trace.h
/// Collects the log lines of one call from the logs of several nodes and sorts
/// them in causal order.
///
/// The entry numbers the attempts of a call, and every line about the call, at
/// the entry or at an exit, has the id of the call and the number of the
/// attempt. The lines are sorted by attempt; within an attempt by a fixed rank
/// of the event: events of the exit, cancellation of the run, a move or retry
/// by the entry, the final result. Lines of equal rank keep the order of the
/// input. Timestamps are not used, so the nodes' clocks need not agree.

namespace yuccamast {

/// The log of one node.
struct NodeLog {
  std::string name;  ///< Name of the file.
  std::vector<std::string> lines;
};

/// The value of `key` in a line of key=value pairs; empty if it is absent. The
/// quotes around a value are removed, escapes within it are kept. Thread-safe.
std::string FieldOfLine(std::string_view line, std::string_view key);

/// The lines of all `logs` whose field `call` is `id`, sorted as described
/// above; empty if there are none. Thread-safe.
std::vector<std::string> TraceCall(std::string_view id,
                                   const std::vector<NodeLog>& logs);

}  // namespace yuccamast
