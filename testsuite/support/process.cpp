#include "support/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <thread>

namespace yuccamast::testing {

namespace {

/// To be called in the forked child: appends its output to `log_file`, lets it
/// be killed when its parent ends, and replaces it by the program. The exit
/// code is 127 if the program cannot be run.
[[noreturn]] void Exec(const std::vector<std::string>& command,
                       const std::string& log_file) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log_fd =
      ::open(log_file.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
  ::dup2(log_fd, STDERR_FILENO);
  ::dup2(log_fd, STDOUT_FILENO);
  std::vector<char*> arguments;
  std::ranges::transform(
      command, std::back_inserter(arguments),
      [](const std::string& text) { return const_cast<char*>(text.c_str()); });
  arguments.push_back(nullptr);
  ::execv(arguments[0], arguments.data());
  ::_exit(127);
}

}  // namespace

Process::Process(const std::vector<std::string>& command,
                 const std::string& log_file) {
  m_pid = ::fork();
  if (m_pid == 0) {
    Exec(command, log_file);
  }
}

Process::~Process() {
  if (IsRunning()) {
    Signal(SIGCONT);
    Signal(SIGKILL);
    Wait(std::chrono::seconds(10));
  }
}

void Process::Signal(int signal) const {
  if (!m_exit_status) {
    ::kill(m_pid, signal);
  }
}

bool Process::IsRunning() {
  return !Wait(std::chrono::milliseconds(0));
}

std::optional<int> Process::Wait(std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!m_exit_status) {
    int status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_exit_status =
          WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
      break;
    }
    if (std::chrono::steady_clock::now() >= deadline) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return m_exit_status;
}

}  // namespace yuccamast::testing
