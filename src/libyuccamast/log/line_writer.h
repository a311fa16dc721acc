#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

/// \file line_writer.h
/// Writes lines to a file descriptor from a background thread.
///
/// Producers append lines to a bounded buffer and never wait for the
/// descriptor, so a log reader that stalls and leaves its pipe full does not
/// delay calls. When the buffer is full, new lines are dropped and counted; the
/// next line that fits is preceded by a line with the number dropped since the
/// last such report: `level=warning event=log_dropped lines=N`.
///
/// The thread takes the whole buffer as one batch. While it writes a batch, new
/// lines fill the buffer again, so up to twice the bound is held in memory.

namespace yuccamast {

/// All methods are thread-safe.
class LineWriter {
 public:
  /// Starts the thread. `descriptor` must stay open while the object exists and
  /// is not closed by it. `max_bytes` is the bound of the buffer, including the
  /// line ends.
  LineWriter(int descriptor, std::size_t max_bytes);

  /// Writes what is buffered and ends the thread. If the descriptor takes
  /// nothing for about 300 ms, the rest is lost.
  ~LineWriter();
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  /// Appends a line, given without its line end, or drops it if the buffer is
  /// full. Does not wait for the descriptor.
  void Push(const std::string& line);

  /// Number of lines dropped so far.
  std::uint64_t dropped() const;

 private:
  /// Body of the thread.
  void Run();

  /// Writes the beginning of `bytes` and removes what was written. False if
  /// nothing was written: there was no room within the poll timeout, or the
  /// write failed. After a permanent error `bytes` is empty.
  bool WriteSome(std::string& bytes);

  const int m_descriptor;
  const std::size_t m_max_bytes;
  mutable std::mutex m_mutex;  ///< Guards the members below.
  std::condition_variable m_ready;
  std::string m_buffer;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_dropped_reported = 0;
  bool m_closing = false;
  std::thread m_thread;
};

}  // namespace yuccamast
