#pragma once

#include <cstddef>

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

namespace yuccamast {

/// Largest single read of a body, and of input that is discarded, in bytes.
inline constexpr std::size_t kReadChunkBytes = 64U << 10U;

/// Maximum size in bytes of the read buffer of a connection whose heads have at
/// most `max_head_bytes`. Thread-safe.
constexpr std::size_t ReadBufferBytes(std::size_t max_head_bytes) {
  return max_head_bytes + kReadChunkBytes;
}

}  // namespace yuccamast
