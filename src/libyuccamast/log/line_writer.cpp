#include "log/line_writer.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <utility>

namespace yuccamast {

namespace {

/// Lines are collected for this long before they are written, so that a busy
/// node makes few system calls for its log.
constexpr std::chrono::milliseconds kCollectTime{50};
/// Longest wait for room in the descriptor before a request to close is
/// checked again.
constexpr int kPollTimeoutMs = 100;
/// When closing, the remaining lines are discarded after this many consecutive
/// attempts that wrote nothing.
constexpr int kCloseAttempts = 3;

}  // namespace

LineWriter::LineWriter(int descriptor, std::size_t max_bytes)
    : m_descriptor(descriptor), m_max_bytes(max_bytes) {
  m_thread = std::thread([this] { Run(); });
}

LineWriter::~LineWriter() {
  {
    const std::lock_guard lock(m_mutex);
    m_closing = true;
  }
  m_ready.notify_one();
  m_thread.join();
}

void LineWriter::Push(const std::string& line) {
  bool was_empty = false;
  {
    const std::lock_guard lock(m_mutex);
    if (m_buffer.size() + line.size() + 1 > m_max_bytes) {
      ++m_dropped;
      return;
    }
    was_empty = m_buffer.empty();
    if (m_dropped > m_dropped_reported) {
      m_buffer += "level=warning event=log_dropped lines=" +
                  std::to_string(m_dropped - m_dropped_reported) + "\n";
      m_dropped_reported = m_dropped;
    }
    m_buffer += line;
    m_buffer += '\n';
  }
  if (was_empty) {
    m_ready.notify_one();
  }
}

std::uint64_t LineWriter::dropped() const {
  const std::lock_guard lock(m_mutex);
  return m_dropped;
}

bool LineWriter::WriteSome(std::string& bytes) {
  // After poll() has reported room, a pipe takes a write of up to 4096 bytes
  // (PIPE_BUF on Linux) whole and without blocking; a longer write could be
  // taken in part or block until the reader makes room for the rest.
  constexpr std::size_t kMaxWriteBytes = 4096;
  pollfd ready{m_descriptor, POLLOUT, 0};
  if (::poll(&ready, 1, kPollTimeoutMs) <= 0) {
    return false;
  }
  const ssize_t written = ::write(m_descriptor, bytes.data(),
                                  std::min(bytes.size(), kMaxWriteBytes));
  if (written < 0) {
    // The lines are discarded if the descriptor is closed or broken. There is
    // no other place to report this to.
    const bool is_temporary = errno == EAGAIN || errno == EINTR;
    if (!is_temporary) {
      bytes.clear();
    }
    return false;
  }
  bytes.erase(0, static_cast<std::size_t>(written));
  return true;
}

void LineWriter::Run() {
  std::string bytes;
  int failed_attempts = 0;
  while (true) {
    bool closing = false;
    {
      std::unique_lock lock(m_mutex);
      if (bytes.empty()) {
        m_ready.wait(lock, [this] { return m_closing || !m_buffer.empty(); });
      }
      if (!m_closing && bytes.empty()) {
        m_ready.wait_for(lock, kCollectTime, [this] { return m_closing; });
      }
      if (bytes.empty()) {
        bytes = std::exchange(m_buffer, {});
      }
      closing = m_closing;
      if (closing && bytes.empty()) {
        return;
      }
    }
    const bool wrote = WriteSome(bytes);
    failed_attempts = wrote ? 0 : failed_attempts + 1;
    if (closing && failed_attempts >= kCloseAttempts) {
      return;
    }
  }
}

}  // namespace yuccamast
