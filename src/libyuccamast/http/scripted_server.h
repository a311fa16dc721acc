#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

/// \file scripted_server.h
/// A stand-in of an upstream for tests, which sends given bytes as its replies.

namespace yuccamast {

/// A TCP server that answers each read with the next of the given texts, and
/// closes the connection after the last, orderly (FIN) or by a reset (RST).
class ScriptedServer {
 public:
  /// `io` must outlive the server.
  ScriptedServer(boost::asio::io_context& io,
                 std::vector<std::string> replies,
                 bool reset)
      : m_acceptor(io,
                   boost::asio::ip::tcp::endpoint(
                       boost::asio::ip::address_v4::loopback(),
                       0)),
        m_replies(std::move(replies)),
        m_reset(reset) {
    Accept();
  }

  boost::asio::ip::tcp::endpoint endpoint() const {
    return m_acceptor.local_endpoint();
  }
  std::size_t requests() const { return m_requests; }

 private:
  void Accept() {
    m_acceptor.async_accept([this](const auto& error,
                                   boost::asio::ip::tcp::socket socket) {
      if (!error) {
        Read(std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket)));
        Accept();
      }
    });
  }

  void Read(const std::shared_ptr<boost::asio::ip::tcp::socket>& socket) {
    socket->async_read_some(boost::asio::buffer(m_buffer),
                            [this, socket](const auto& error, std::size_t) {
                              if (!error) {
                                Respond(socket);
                              }
                            });
  }

  void Respond(const std::shared_ptr<boost::asio::ip::tcp::socket>& socket) {
    const std::size_t index = m_requests++;
    if (index >= m_replies.size()) {
      Close(*socket);
      return;
    }
    boost::asio::async_write(*socket, boost::asio::buffer(m_replies[index]),
                             [this, socket](const auto& error, std::size_t) {
                               if (error || m_requests >= m_replies.size()) {
                                 Close(*socket);
                                 return;
                               }
                               Read(socket);
                             });
  }

  void Close(boost::asio::ip::tcp::socket& socket) const {
    if (m_reset) {
      socket.set_option(boost::asio::socket_base::linger(true, 0));
    }
    boost::system::error_code ignored;
    socket.close(ignored);
  }

  boost::asio::ip::tcp::acceptor m_acceptor;
  const std::vector<std::string> m_replies;
  const bool m_reset;
  std::array<char, 4096> m_buffer{};
  std::size_t m_requests = 0;
};

}  // namespace yuccamast
