#pragma once

#include <string>
#include <string_view>
#include <vector>

/// \file trace.h
/// Gathers the lines of one call from the logs of the nodes that it crossed.
///
/// The entry numbers the attempts of a call, and every line about it, at the
/// entry or at an exit, carries the call's id and the attempt's number. So the
/// order of what happened follows from the lines alone, and the nodes' clocks
/// need not agree.

namespace yuccamast {

/// The log of one node.
struct NodeLog {
  std::string name;  ///< Of the file.
  std::vector<std::string> lines;
};

/// The value of `key` in a line of key=value pairs, unquoted; empty if absent.
std::string FieldOfLine(std::string_view line, std::string_view key);

/// The lines with `call=id`: by attempt, and within one the exit's before what
/// the entry made of them; the entry's final word comes last.
std::vector<std::string> TraceCall(std::string_view id,
                                   const std::vector<NodeLog>& sources);

}  // namespace yuccamast
