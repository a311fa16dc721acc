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

[[noreturn]] void Exec(const std::vector<std::string>& command,
                       const std::string& log) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int file = ::open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
  ::dup2(file, STDERR_FILENO);
  ::dup2(file, STDOUT_FILENO);
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
                 const std::string& log) {
  m_pid = ::fork();
  if (m_pid == 0) {
    Exec(command, log);
  }
}

Process::~Process() {
  if (Running()) {
    Signal(SIGCONT);
    Signal(SIGKILL);
    Wait(std::chrono::seconds(10));
  }
}

void Process::Signal(int signal) const {
  if (!m_result) {
    ::kill(m_pid, signal);
  }
}

bool Process::Running() {
  return !Wait(std::chrono::milliseconds(0));
}

std::optional<int> Process::Wait(std::chrono::milliseconds limit) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (!m_result) {
    int status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_result = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
      break;
    }
    if (std::chrono::steady_clock::now() >= until) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return m_result;
}

}  // namespace yuccamast::testing
