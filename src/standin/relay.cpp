#include "standin/relay.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>

#include "standin/options.h"

namespace yuccamast::standin {

using boost::system::error_code;

namespace {

constexpr std::array<std::string_view, 4> kModeNames = {"pass", "silent",
                                                        "black", "half"};

}  // namespace

/// Two connected sockets.
class RelayPair : public std::enable_shared_from_this<RelayPair> {
 public:
  RelayPair(asio::io_context& io, tcp::socket accepted, FaultRelay& relay)
      : m_io(io),
        m_relay(relay),
        m_accepted(std::move(accepted)),
        m_connected(io) {}

  void Start(const tcp::endpoint& to) {
    m_connected.async_connect(
        to, [self = shared_from_this()](const error_code& error) {
          if (error) {
            self->Close(false);
            return;
          }
          error_code ignored;
          self->m_accepted.set_option(tcp::no_delay(true), ignored);
          self->m_connected.set_option(tcp::no_delay(true), ignored);
          self->Pump(self->m_accepted, self->m_connected, true);
          self->Pump(self->m_connected, self->m_accepted, false);
        });
  }

  void Close(bool reset) {
    error_code ignored;
    if (reset) {
      m_accepted.set_option(asio::socket_base::linger(true, 0), ignored);
      m_connected.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    m_accepted.close(ignored);
    m_connected.close(ignored);
    m_relay.Forget(shared_from_this());
  }

  void Silence() { m_silent = true; }

 private:
  using Bytes = std::shared_ptr<std::string>;

  void Pump(tcp::socket& from, tcp::socket& to, bool forward) {
    auto buffer = std::make_shared<std::string>(16384, '\0');
    from.async_read_some(asio::buffer(*buffer),
                         [self = shared_from_this(), &from, &to, buffer,
                          forward](const error_code& error, std::size_t size) {
                           if (error) {
                             self->m_ended = true;
                             self->CloseIfDone();
                             return;
                           }
                           buffer->resize(size);
                           self->Pass(to, buffer, forward);
                           self->Pump(from, to, forward);
                         });
  }

  /// Closes once one end is over and all bytes on their way were delivered.
  void CloseIfDone() {
    if (m_ended && !m_silent && m_forward.empty() && m_backward.empty()) {
      Close(false);
    }
  }

  bool Dropped(bool forward) const {
    const RelayMode mode = m_relay.mode();
    return m_silent || mode == RelayMode::kBlack ||
           (mode == RelayMode::kHalf && forward);
  }

  void Pass(tcp::socket& to, const Bytes& bytes, bool forward) {
    if (Dropped(forward)) {
      return;
    }
    if (forward && m_relay.hold_after() >= 0) {
      Hold(to, *bytes);
      return;
    }
    Queue(to, bytes, forward);
  }

  /// Lets through what the limit still allows and keeps the rest.
  void Hold(tcp::socket& to, const std::string& bytes) {
    const auto limit = static_cast<std::size_t>(m_relay.hold_after());
    const std::size_t pass =
        std::min(bytes.size(), limit > m_passed ? limit - m_passed : 0);
    m_passed += pass;
    if (pass > 0) {
      Queue(to, std::make_shared<std::string>(bytes.substr(0, pass)), true);
    }
    if (pass < bytes.size()) {
      if (m_kept.empty()) {
        m_relay.CountHeld();
      }
      m_kept += bytes.substr(pass);
    }
  }

 public:
  /// Sends on what was kept.
  void Resume() {
    m_passed = 0;
    if (!m_kept.empty() && !Dropped(true)) {
      Queue(m_connected, std::make_shared<std::string>(std::move(m_kept)),
            true);
    }
    m_kept.clear();
  }

 private:
  void Queue(tcp::socket& to, const Bytes& bytes, bool forward) {
    std::uint64_t wait_us = m_relay.delay_us();
    if (m_relay.rate() > 0) {
      wait_us += bytes->size() * 1'000'000 / m_relay.rate();
    }
    auto& queue = forward ? m_forward : m_backward;
    queue.push_back(
        {std::chrono::steady_clock::now() + std::chrono::microseconds(wait_us),
         bytes});
    if (queue.size() == 1) {
      SendNext(to, forward);
    }
  }

  void SendNext(tcp::socket& to, bool forward) {
    auto& queue = forward ? m_forward : m_backward;
    if (queue.empty()) {
      CloseIfDone();
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_io);
    timer->expires_at(queue.front().due);
    timer->async_wait([self = shared_from_this(), &to, forward,
                       timer](const error_code&) { self->Send(to, forward); });
  }

  void Send(tcp::socket& to, bool forward) {
    auto& queue = forward ? m_forward : m_backward;
    const Bytes bytes = queue.front().bytes;
    if (Dropped(forward)) {
      queue.pop_front();
      SendNext(to, forward);
      return;
    }
    asio::async_write(to, asio::buffer(*bytes),
                      [self = shared_from_this(), &to, forward, bytes](
                          const error_code& error, std::size_t) {
                        auto& waiting =
                            forward ? self->m_forward : self->m_backward;
                        waiting.pop_front();
                        if (!error) {
                          self->SendNext(to, forward);
                        }
                      });
  }

  struct Due {
    std::chrono::steady_clock::time_point due;
    Bytes bytes;
  };

  asio::io_context& m_io;
  FaultRelay& m_relay;
  tcp::socket m_accepted;
  tcp::socket m_connected;
  std::deque<Due> m_forward;
  std::deque<Due> m_backward;
  bool m_ended = false;
  std::string m_kept;
  std::size_t m_passed = 0;
  bool m_silent = false;
};

FaultRelay::FaultRelay(asio::io_context& io, const RelayOptions& options)
    : m_io(io),
      m_options(options),
      m_acceptor(io),
      m_datagrams(io,
                  asio::ip::udp::endpoint(asio::ip::make_address(options.ip),
                                          options.port)),
      m_delay_us(options.delay_us),
      m_control(io,
                options.ip,
                options.control,
                [this](const Request& request,
                       const Respond& respond,
                       std::function<void()>*) { Control(request, respond); }) {
  const tcp::endpoint endpoint(asio::ip::make_address(options.ip),
                               options.port);
  m_acceptor.open(endpoint.protocol());
  m_acceptor.set_option(tcp::acceptor::reuse_address(true));
  m_acceptor.bind(endpoint);
  m_acceptor.listen(1024);
  Accept();
  ReceiveDatagram();
}

void FaultRelay::ReceiveDatagram() {
  m_datagrams.async_receive_from(
      asio::buffer(m_datagram), m_datagram_from,
      [this](const error_code& error, std::size_t size) {
        if (!error && m_mode != RelayMode::kBlack) {
          ForwardDatagram(size);
        }
        ReceiveDatagram();
      });
}

void FaultRelay::ForwardDatagram(std::size_t size) {
  auto bytes = std::make_shared<std::string>(m_datagram.data(), size);
  auto timer = std::make_shared<asio::steady_timer>(m_io);
  timer->expires_after(std::chrono::microseconds(m_delay_us));
  timer->async_wait([this, bytes, timer](const error_code&) {
    error_code ignored;
    m_datagrams.send_to(asio::buffer(*bytes),
                        {asio::ip::make_address(m_options.ip), m_options.to}, 0,
                        ignored);
  });
}

void FaultRelay::Accept() {
  m_acceptor.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error) {
      return;
    }
    auto pair = std::make_shared<RelayPair>(m_io, std::move(socket), *this);
    m_pairs.insert(pair);
    pair->Start({asio::ip::make_address(m_options.ip), m_options.to});
    Accept();
  });
}

void FaultRelay::Control(const Request& request, const Respond& respond) {
  if (request.path == "/_standin/reset") {
    const auto pairs = m_pairs;
    std::ranges::for_each(pairs, [](const auto& pair) { pair->Close(true); });
  } else if (request.path == "/_standin/set") {
    m_delay_us = static_cast<std::uint64_t>(
        Number(request, "delay_us", static_cast<long>(m_delay_us)));
    m_rate = static_cast<std::uint64_t>(
        Number(request, "rate", static_cast<long>(m_rate)));
    m_hold_after = Number(request, "hold_after", m_hold_after);
    if (m_hold_after < 0) {
      m_held = 0;
      std::ranges::for_each(m_pairs, [](const auto& pair) { pair->Resume(); });
    }
    const auto mode = std::ranges::find(kModeNames, Param(request, "mode", ""));
    if (mode != kModeNames.end()) {
      m_mode = static_cast<RelayMode>(mode - kModeNames.begin());
    }
    if (m_mode == RelayMode::kSilent) {
      std::ranges::for_each(m_pairs, [](const auto& pair) { pair->Silence(); });
    }
  }
  respond(Reply(200, "pairs " + std::to_string(m_pairs.size()) + "\nheld " +
                         std::to_string(m_held) + "\n"));
}

int RunRelay(int argc, char** argv) {
  cxxopts::Options options("yuccamast-standin relay",
                           "A fault relay between two TCP ends.");
  options.add_options()("port", "Port to listen on",
                        cxxopts::value<std::uint16_t>())(
      "to", "Port to connect to", cxxopts::value<std::uint16_t>())(
      "control", "Control port", cxxopts::value<std::uint16_t>())(
      "delay-us", "One-way delay",
      cxxopts::value<std::uint64_t>()->default_value("0"));
  return WithOptions(options, argc, argv, [](const auto& parsed) {
    RelayOptions relay;
    relay.port = parsed["port"].template as<std::uint16_t>();
    relay.to = parsed["to"].template as<std::uint16_t>();
    relay.control = parsed["control"].template as<std::uint16_t>();
    relay.delay_us = parsed["delay-us"].template as<std::uint64_t>();
    asio::io_context io(1);
    FaultRelay standin(io, relay);
    io.run();
    return 0;
  });
}

}  // namespace yuccamast::standin
