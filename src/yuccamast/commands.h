#pragma once

/// \file commands.h
/// The subcommands of the program `yuccamast`.
///
/// Each parses its own arguments, of which the first is its name, and returns
/// the exit code of the process: 0 on success, 1 on failure, `kUsageError` for
/// wrong arguments. Results go to standard output and errors to standard error,
/// except those of `check` and `node`: `check` prints its errors as its result,
/// and `node` logs them to standard output.

namespace yuccamast {

/// Exit code for wrong or missing arguments.
inline constexpr int kUsageError = 2;

/// `yuccamast node --settings FILE`: runs a node until SIGTERM or SIGINT and
/// the planned stop that follows. FILE is by default the value of the
/// environment variable YUCCAMAST_SETTINGS. Once the arguments are parsed, it
/// ends the process instead of returning: with exit code 0, or 1 if calls or
/// callers were left when the time for the stop was over, if the settings are
/// refused, or after another error.
int RunNode(int argc, char** argv);

/// `yuccamast check FOLDER`: merges the configuration files of a folder in the
/// order of their names and prints the result as JSON, or a line for each
/// error, with exit code 1.
int RunCheck(int argc, char** argv);

/// `yuccamast dump IP:PORT`: prints the state of the node with this control
/// address as JSON.
int RunDump(int argc, char** argv);

/// `yuccamast status IP:PORT`: prints a line for each member of the fleet as
/// the node with this control address sees it, and a summary. Exit code 1 if a
/// member does not have the newest configuration revision among them.
int RunStatus(int argc, char** argv);

/// `yuccamast trace ID FILE...`: prints the log lines of one call, merged from
/// the log files of several nodes. Exit code 1 if there is none.
int RunTrace(int argc, char** argv);

}  // namespace yuccamast
