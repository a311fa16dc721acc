#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// \file raw_http.h
/// Sends exact bytes to a port on loopback and reads exact bytes back.

namespace yuccamast::testing {

/// A reply as a strict reader of HTTP/1.1 sees it.
struct HttpAnswer {
  bool whole = false;  ///< The end was proven by length or last chunk.
  unsigned status = 0;
  std::map<std::string, std::string> fields;  ///< Names in lower case.
  std::string body;
  std::string raw;

  std::string Field(const std::string& name) const;
};

/// A connection that sends and receives raw bytes.
class RawConnection {
 public:
  explicit RawConnection(std::uint16_t port);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  bool connected() const { return m_fd >= 0; }
  bool Send(const std::string& bytes) const;

  /// Reads one reply; `head` says that it answers a HEAD request.
  HttpAnswer Read(std::chrono::milliseconds limit, bool head = false);

  /// Whether the peer closes within the limit; what it sends is discarded.
  bool WaitForClose(std::chrono::milliseconds limit);

  /// Closes now, by a reset if asked.
  void Close(bool reset = false);

 private:
  bool Fill(std::chrono::steady_clock::time_point until);

  int m_fd = -1;
  std::string m_buffer;
  bool m_ended = false;
};

/// One request on a connection of its own. `head_lines` end in CRLF each.
HttpAnswer Request(std::uint16_t port,
                   const std::string& method,
                   const std::string& target,
                   const std::string& body = "",
                   const std::string& head_lines = "",
                   std::chrono::milliseconds limit = std::chrono::seconds(10));

}  // namespace yuccamast::testing
