#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

/// \file process.h
/// A child process of a test.
///
/// The process doesn't outlive the test: it is killed on destruction and, if
/// the test crashes, by the kernel (PR_SET_PDEATHSIG). The kernel does this
/// when the thread ends that started the process, so that thread must live as
/// long as the process is needed.

namespace yuccamast::testing {

/// Starts on construction; is killed and reaped on destruction, also if it is
/// stopped by SIGSTOP. Not thread-safe.
class Process {
 public:
  /// Runs the program at the path `command[0]` with the other elements as its
  /// arguments. Its standard output and standard error are appended to
  /// `log_file`. If it can't be executed, the exit code is 127.
  Process(const std::vector<std::string>& command, const std::string& log_file);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t pid() const { return m_pid; }
  /// Sends a signal, unless the process is known to have ended.
  void Signal(int signal) const;

  /// Waits for the end of the process. Returns its exit code, or minus the
  /// number of the signal that ended it, or nothing if the time runs out.
  std::optional<int> Wait(std::chrono::milliseconds timeout);

  /// Whether the process has not ended; one stopped by SIGSTOP counts as
  /// running.
  bool IsRunning();

 private:
  pid_t m_pid = -1;
  std::optional<int> m_exit_status;
};

}  // namespace yuccamast::testing
