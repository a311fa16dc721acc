#pragma once

/// \file commands.h
/// The subcommands of the program. Each parses its own arguments, of which the
/// first is its name, and returns the exit code of the process.

namespace yuccamast {

/// Exit code of a wrong call.
inline constexpr int kUsageError = 2;

/// `yuccamast node --settings FILE`
int RunNode(int argc, char** argv);

/// `yuccamast check FOLDER`
int RunCheck(int argc, char** argv);

/// `yuccamast dump IP:PORT`
int RunDump(int argc, char** argv);

/// `yuccamast status IP:PORT`
int RunStatus(int argc, char** argv);

/// `yuccamast trace ID FILE...`
int RunTrace(int argc, char** argv);

}  // namespace yuccamast
