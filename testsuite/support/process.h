#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

/// \file process.h
/// A child process of a test, which never outlives the test.

namespace yuccamast::testing {

/// Starts on construction; is killed and reaped on destruction.
class Process {
 public:
  /// `log` is the file that standard error is appended to.
  Process(const std::vector<std::string>& command, const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t pid() const { return m_pid; }
  void Signal(int signal) const;

  /// The exit code, or the negative signal, or nothing after `limit`.
  std::optional<int> Wait(std::chrono::milliseconds limit);

  bool Running();

 private:
  pid_t m_pid = -1;
  std::optional<int> m_result;
};

}  // namespace yuccamast::testing
