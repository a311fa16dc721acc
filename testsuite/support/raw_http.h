#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// \file raw_http.h
/// A minimal HTTP/1.1 client for tests, which sends exact bytes, also malformed
/// requests, to a port on loopback.
///
/// It blocks, and doesn't parse more than the tests need: a reply's body is
/// read by its Content-Length only, so that a chunked reply, or one that ends
/// with the connection, counts as incomplete.

namespace yuccamast::testing {

/// A reply, or as much of it as was received.
struct ReceivedReply {
  bool complete = false;  ///< The message's end was received.
  unsigned status = 0;    ///< 0: no complete head.
  std::map<std::string, std::string> fields;  ///< Names in lower case.
  std::string body;
  std::string raw;  ///< Head and body as received, for messages.

  /// Returns a field by its name in lower case, or "" if it is missing.
  std::string Field(const std::string& name) const;
};

/// A TCP connection to a port on loopback. Not thread-safe.
class RawConnection {
 public:
  /// Connects; see `connected` for the result.
  explicit RawConnection(std::uint16_t port);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  bool connected() const { return m_fd >= 0; }
  /// Sends all bytes, blocking. Returns false if the connection is lost.
  bool Send(const std::string& bytes) const;

  /// Reads the next reply, also an interim one (status 100). It is incomplete
  /// if the time runs out or the connection ends. `is_head_request`: the reply
  /// has no body, whatever its Content-Length says. Throws
  /// std::invalid_argument if the status or the Content-Length isn't a number.
  ReceivedReply ReadReply(std::chrono::milliseconds timeout,
                          bool is_head_request = false);

  /// Returns whether the peer closes the connection before the time runs out.
  /// Bytes that it sends are discarded.
  bool WaitForClose(std::chrono::milliseconds timeout);

  /// Closes the connection; `reset`: by RST instead of FIN.
  void Close(bool reset = false);

 private:
  /// Waits for bytes and appends them to `m_buffer`. Returns false at the
  /// deadline or at the end of the connection.
  bool Receive(std::chrono::steady_clock::time_point deadline);

  int m_fd = -1;
  std::string m_buffer;
  bool m_peer_closed = false;
};

/// Sends one request on a new connection and returns the reply, which is empty
/// if the connection can't be made. Each of `field_lines` must end in CRLF. The
/// field Host is set, and Content-Length if there is a body or the method is
/// POST.
ReceivedReply SendRequest(
    std::uint16_t port,
    const std::string& method,
    const std::string& target,
    const std::string& body = "",
    const std::string& field_lines = "",
    std::chrono::milliseconds timeout = std::chrono::seconds(10));

}  // namespace yuccamast::testing
