#include "log/line_writer.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <utility>

namespace yuccamast {

namespace {

/// Lines are gathered for this long before they are written, so that a busy
/// node makes few system calls for its log.
constexpr std::chrono::milliseconds kGather{50};
/// Wait for room in the descriptor before closing is looked at again.
constexpr int kPollMs = 100;
/// Attempts to write what is held when the writer closes.
constexpr int kLastAttempts = 3;

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
  bool first = false;
  {
    const std::lock_guard lock(m_mutex);
    if (m_held.size() + line.size() + 1 > m_max_bytes) {
      ++m_dropped;
      return;
    }
    first = m_held.empty();
    if (m_dropped > m_dropped_told) {
      m_held += "level=warning event=log_dropped lines=" +
                std::to_string(m_dropped - m_dropped_told) + "\n";
      m_dropped_told = m_dropped;
    }
    m_held += line;
    m_held += '\n';
  }
  if (first) {
    m_ready.notify_one();
  }
}

std::uint64_t LineWriter::dropped() const {
  const std::lock_guard lock(m_mutex);
  return m_dropped;
}

bool LineWriter::WriteSome(std::string& bytes) {
  // A pipe takes a part of a long write or blocks for the rest; short writes
  // after a poll do neither.
  constexpr std::size_t kChunk = 4096;
  pollfd ready{m_descriptor, POLLOUT, 0};
  if (::poll(&ready, 1, kPollMs) <= 0) {
    return false;
  }
  const ssize_t written =
      ::write(m_descriptor, bytes.data(), std::min(bytes.size(), kChunk));
  if (written < 0) {
    // A descriptor that is closed or broken takes no log; nobody is told.
    const bool again = errno == EAGAIN || errno == EINTR;
    if (!again) {
      bytes.clear();
    }
    return false;
  }
  bytes.erase(0, static_cast<std::size_t>(written));
  return true;
}

void LineWriter::Run() {
  std::string bytes;
  int attempts = 0;
  while (true) {
    bool closing = false;
    {
      std::unique_lock lock(m_mutex);
      if (bytes.empty()) {
        m_ready.wait(lock, [this] { return m_closing || !m_held.empty(); });
      }
      if (!m_closing && bytes.empty()) {
        m_ready.wait_for(lock, kGather, [this] { return m_closing; });
      }
      if (bytes.empty()) {
        bytes = std::exchange(m_held, {});
      }
      closing = m_closing;
      if (closing && bytes.empty()) {
        return;
      }
    }
    const bool wrote = WriteSome(bytes);
    attempts = wrote ? 0 : attempts + 1;
    if (closing && attempts >= kLastAttempts) {
      return;
    }
  }
}

}  // namespace yuccamast
