#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>

/// \file read_limits.h
/// Limits of what one HTTP message may hold in a read buffer.
///
/// Beast's parsers limit the head and the decoded body of a message. They have
/// no limit for the rest of a chunked body: the line of a chunk's size with its
/// extension, and the trailer section. Both stay in the read buffer until they
/// are complete, so a sender that never completes them is bounded only by the
/// size of the buffer. Every buffer that a Beast parser reads from is created
/// with the maximum size given here. A read that needs more fails with
/// `http::error::buffer_overflow`.
///
/// Beast stores the sizes of a field's name and value in 16 bits and throws
/// `std::length_error` for larger ones. A field is in the buffer as a whole
/// when it is parsed, so every buffer is kept below 64 KB.

namespace yuccamast {

/// Room in a read buffer beside the head, and largest single read of input that
/// is discarded, in bytes.
inline constexpr std::size_t kReadChunkBytes = 32U << 10U;

/// Maximum size of any read buffer, in bytes, so that the size of a field fits
/// 16 bits.
inline constexpr std::size_t kMaxReadBufferBytes = (64U << 10U) - 1;

/// Maximum size in bytes of the read buffer of a connection whose heads have at
/// most `max_head_bytes`. A larger limit than `kMaxReadBufferBytes` has no
/// effect. Thread-safe.
constexpr std::size_t ReadBufferBytes(std::size_t max_head_bytes) {
  return std::min(max_head_bytes + kReadChunkBytes, kMaxReadBufferBytes);
}

/// Capacity that a body needs before the next read, so that the read does not
/// make it grow by itself and its memory can be reserved first: the whole
/// `length` if it is known, otherwise twice the size once it is nearly full. At
/// most `max_bytes` and one read. Thread-safe.
inline std::size_t GrownCapacity(const std::string& body,
                                 std::optional<std::size_t> length,
                                 std::size_t max_bytes) {
  if (length) {
    return std::min(*length, max_bytes);
  }
  const std::size_t needed = body.size() + kMaxReadBufferBytes;
  if (needed <= body.capacity()) {
    return body.capacity();
  }
  return std::max(needed,
                  std::min(2 * body.size(), max_bytes + kMaxReadBufferBytes));
}

}  // namespace yuccamast
