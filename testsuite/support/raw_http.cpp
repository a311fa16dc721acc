#include "support/raw_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>

namespace yuccamast::testing {

namespace {

using SteadyClock = std::chrono::steady_clock;

/// Parses the status line and the field lines.
void ParseHead(const std::string& head, ReceivedReply& reply) {
  std::istringstream in(head);
  std::string line;
  std::getline(in, line);
  if (line.size() > 12) {
    reply.status = static_cast<unsigned>(std::stoul(line.substr(9, 3)));
  }
  while (std::getline(in, line) && line.size() > 1) {
    const std::size_t colon = line.find(':');
    std::string name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    value.erase(value.find_last_not_of("\r ") + 1);
    reply.fields[name] = value;
  }
}

}  // namespace

std::string ReceivedReply::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

RawConnection::RawConnection(std::uint16_t port) {
  m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    Close();
  }
}

RawConnection::~RawConnection() {
  Close();
}

void RawConnection::Close(bool reset) {
  if (m_fd < 0) {
    return;
  }
  if (reset) {
    const linger reset_on_close{1, 0};
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
                 sizeof(reset_on_close));
  }
  ::close(m_fd);
  m_fd = -1;
}

bool RawConnection::Send(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool RawConnection::Receive(SteadyClock::time_point deadline) {
  if (m_fd < 0 || m_peer_closed) {
    return false;
  }
  const auto remaining_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline -
                                                            SteadyClock::now())
          .count();
  pollfd poll_request{m_fd, POLLIN, 0};
  if (remaining_ms <= 0 ||
      ::poll(&poll_request, 1, static_cast<int>(remaining_ms)) <= 0) {
    return false;
  }
  std::array<char, 65536> bytes{};
  const ssize_t count = ::recv(m_fd, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    m_peer_closed = true;
    return false;
  }
  m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

ReceivedReply RawConnection::ReadReply(std::chrono::milliseconds timeout,
                                       bool is_head_request) {
  const auto deadline = SteadyClock::now() + timeout;
  ReceivedReply reply;
  std::size_t end = m_buffer.find("\r\n\r\n");
  while (end == std::string::npos && Receive(deadline)) {
    end = m_buffer.find("\r\n\r\n");
  }
  if (end == std::string::npos) {
    reply.raw = m_buffer;
    return reply;
  }
  ParseHead(m_buffer.substr(0, end + 2), reply);
  const std::string length = reply.Field("content-length");
  const std::size_t size =
      length.empty() || is_head_request ? 0 : std::stoul(length);
  while (m_buffer.size() < end + 4 + size && Receive(deadline)) {
  }
  reply.complete = m_buffer.size() >= end + 4 + size &&
                   (!length.empty() || is_head_request || reply.status == 204 ||
                    reply.status == 304 || reply.status < 200);
  reply.body = m_buffer.substr(end + 4, size);
  reply.raw = m_buffer.substr(0, end + 4 + size);
  m_buffer.erase(0, end + 4 + size);
  return reply;
}

bool RawConnection::WaitForClose(std::chrono::milliseconds timeout) {
  const auto deadline = SteadyClock::now() + timeout;
  while (Receive(deadline)) {
    m_buffer.clear();
  }
  return m_peer_closed;
}

ReceivedReply SendRequest(std::uint16_t port,
                          const std::string& method,
                          const std::string& target,
                          const std::string& body,
                          const std::string& field_lines,
                          std::chrono::milliseconds timeout) {
  RawConnection connection(port);
  if (!connection.connected()) {
    return {};
  }
  std::string bytes = method + " " + target + " HTTP/1.1\r\nHost: t\r\n";
  if (!body.empty() || method == "POST") {
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  connection.Send(bytes + field_lines + "\r\n" + body);
  return connection.ReadReply(timeout, method == "HEAD");
}

}  // namespace yuccamast::testing
