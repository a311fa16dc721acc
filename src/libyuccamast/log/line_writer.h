#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

/// \file line_writer.h
/// Writes lines to a descriptor from a thread of its own.
///
/// Whoever has a line hands it over and goes on: a reader of the log that
/// stalls never delays a call. What does not fit the bound is dropped and
/// counted, and the count is written as soon as there is room again.

namespace yuccamast {

/// Thread-safe.
class LineWriter {
 public:
  /// Holds at most `max_bytes` of lines that are not written yet.
  LineWriter(int descriptor, std::size_t max_bytes);

  /// Waits a moment for what is held to be written. A descriptor that takes
  /// nothing loses the rest.
  ~LineWriter();
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  /// Takes a line, without its end. Never blocks on the descriptor.
  void Push(const std::string& line);

  /// Lines that were dropped so far.
  std::uint64_t dropped() const;

 private:
  void Run();
  bool WriteSome(std::string& bytes);

  const int m_descriptor;
  const std::size_t m_max_bytes;
  mutable std::mutex m_mutex;  ///< Guards the members below.
  std::condition_variable m_ready;
  std::string m_held;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_dropped_told = 0;
  bool m_closing = false;
  std::thread m_thread;
};

}  // namespace yuccamast
