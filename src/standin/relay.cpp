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

/// Values of `mode=`, in the order of `RelayMode`.
constexpr std::array<std::string_view, 4> kModeNames = {"pass", "silent",
                                                        "black", "half"};

}  // namespace

/// The two sockets of a relayed connection: that of the client, which the relay
/// accepted, and that to the target.
///
/// Each direction has a queue of chunks, each with the time at which it is to
/// be sent. Only the front of a queue has a timer or a write in progress, so
/// that the order of the bytes is kept when the delay is lowered.
class RelayPair : public std::enable_shared_from_this<RelayPair> {
 public:
  RelayPair(asio::io_context& io, tcp::socket accepted, FaultRelay& relay)
      : m_io(io), m_relay(relay), m_client(std::move(accepted)), m_target(io) {}

  void Start(const tcp::endpoint& target) {
    m_target.async_connect(
        target, [self = shared_from_this()](const error_code& error) {
          if (error) {
            self->Close(false);
            return;
          }
          error_code ignored;
          self->m_client.set_option(tcp::no_delay(true), ignored);
          self->m_target.set_option(tcp::no_delay(true), ignored);
          self->ReadLoop(self->m_client, self->m_target, true);
          self->ReadLoop(self->m_target, self->m_client, false);
        });
  }

  /// Closes both sockets, by a reset (RST) if `reset`, and drops queued bytes.
  void Close(bool reset) {
    error_code ignored;
    if (reset) {
      m_client.set_option(asio::socket_base::linger(true, 0), ignored);
      m_target.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    m_client.close(ignored);
    m_target.close(ignored);
    m_relay.RemovePair(shared_from_this());
  }

  /// Drops all bytes of both directions from now on.
  void SetSilent() { m_silent = true; }

 private:
  using SharedBytes = std::shared_ptr<std::string>;

  /// Reads chunks from `source` and relays them until an error or the end.
  void ReadLoop(tcp::socket& source, tcp::socket& destination, bool to_target) {
    auto buffer = std::make_shared<std::string>(16384, '\0');
    source.async_read_some(
        asio::buffer(*buffer),
        [self = shared_from_this(), &source, &destination, buffer, to_target](
            const error_code& error, std::size_t size) {
          if (error) {
            self->m_end_reached = true;
            self->CloseIfDone();
            return;
          }
          buffer->resize(size);
          self->RelayBytes(destination, buffer, to_target);
          self->ReadLoop(source, destination, to_target);
        });
  }

  /// Closes once one end was closed and both queues are empty. A silent
  /// connection stays open.
  void CloseIfDone() {
    if (m_end_reached && !m_silent && m_to_target.empty() &&
        m_to_client.empty()) {
      Close(false);
    }
  }

  /// Whether bytes of a direction are dropped now.
  bool IsDropped(bool to_target) const {
    const RelayMode mode = m_relay.mode();
    return m_silent || mode == RelayMode::kBlackhole ||
           (mode == RelayMode::kOneWay && to_target);
  }

  void RelayBytes(tcp::socket& destination,
                  const SharedBytes& bytes,
                  bool to_target) {
    if (IsDropped(to_target)) {
      return;
    }
    if (to_target && m_relay.hold_after() >= 0) {
      HoldExcess(destination, *bytes);
      return;
    }
    Enqueue(destination, bytes, to_target);
  }

  /// Relays the bytes that `hold_after` still allows and holds the rest.
  void HoldExcess(tcp::socket& destination, const std::string& bytes) {
    const auto limit = static_cast<std::size_t>(m_relay.hold_after());
    const std::size_t passed = std::min(
        bytes.size(), limit > m_passed_bytes ? limit - m_passed_bytes : 0);
    m_passed_bytes += passed;
    if (passed > 0) {
      Enqueue(destination,
              std::make_shared<std::string>(bytes.substr(0, passed)), true);
    }
    if (passed < bytes.size()) {
      if (m_held_bytes.empty()) {
        m_relay.CountHeldConnection();
      }
      m_held_bytes += bytes.substr(passed);
    }
  }

 public:
  /// Sends the held bytes, or drops them if the mode requires it, and restarts
  /// the count of bytes for `hold_after`.
  void ReleaseHeld() {
    m_passed_bytes = 0;
    if (!m_held_bytes.empty() && !IsDropped(true)) {
      Enqueue(m_target, std::make_shared<std::string>(std::move(m_held_bytes)),
              true);
    }
    m_held_bytes.clear();
  }

 private:
  /// Queues a chunk to be sent after the delay of the relay, plus the time that
  /// it takes at the rate limit.
  void Enqueue(tcp::socket& destination,
               const SharedBytes& bytes,
               bool to_target) {
    std::uint64_t wait_us = m_relay.delay_us();
    if (m_relay.rate() > 0) {
      wait_us += bytes->size() * 1'000'000 / m_relay.rate();
    }
    auto& queue = to_target ? m_to_target : m_to_client;
    queue.push_back(
        {std::chrono::steady_clock::now() + std::chrono::microseconds(wait_us),
         bytes});
    if (queue.size() == 1) {
      SendNext(destination, to_target);
    }
  }

  /// Waits for the send time of the front of the queue and sends it.
  void SendNext(tcp::socket& destination, bool to_target) {
    auto& queue = to_target ? m_to_target : m_to_client;
    if (queue.empty()) {
      CloseIfDone();
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_io);
    timer->expires_at(queue.front().send_time);
    timer->async_wait(
        [self = shared_from_this(), &destination, to_target,
         timer](const error_code&) { self->Send(destination, to_target); });
  }

  void Send(tcp::socket& destination, bool to_target) {
    auto& queue = to_target ? m_to_target : m_to_client;
    const SharedBytes bytes = queue.front().bytes;
    if (IsDropped(to_target)) {
      queue.pop_front();
      SendNext(destination, to_target);
      return;
    }
    asio::async_write(destination, asio::buffer(*bytes),
                      [self = shared_from_this(), &destination, to_target,
                       bytes](const error_code& error, std::size_t) {
                        auto& pending =
                            to_target ? self->m_to_target : self->m_to_client;
                        pending.pop_front();
                        if (!error) {
                          self->SendNext(destination, to_target);
                        }
                      });
  }

  /// A chunk and the time at which it is to be sent.
  struct QueuedBytes {
    std::chrono::steady_clock::time_point send_time;
    SharedBytes bytes;
  };

  asio::io_context& m_io;
  FaultRelay& m_relay;
  tcp::socket m_client;
  tcp::socket m_target;
  std::deque<QueuedBytes> m_to_target;
  std::deque<QueuedBytes> m_to_client;
  bool m_end_reached = false;  ///< Either end was closed or failed.
  /// Bytes for the target that are held because they exceed `hold_after`.
  std::string m_held_bytes;
  /// Bytes that passed to the target while `hold_after` was set, since the last
  /// `hold_after=-1`.
  std::size_t m_passed_bytes = 0;
  bool m_silent = false;
};

FaultRelay::FaultRelay(asio::io_context& io, const RelayOptions& options)
    : m_io(io),
      m_options(options),
      m_acceptor(io),
      m_udp_socket(io,
                   asio::ip::udp::endpoint(asio::ip::make_address(options.ip),
                                           options.port)),
      m_delay_us(options.delay_us),
      m_control(
          io,
          options.ip,
          options.control_port,
          [this](const Request& request,
                 const ReplyCallback& respond,
                 std::function<void()>*) { HandleControl(request, respond); }) {
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
  m_udp_socket.async_receive_from(
      asio::buffer(m_datagram_buffer), m_datagram_sender,
      [this](const error_code& error, std::size_t size) {
        if (!error && m_mode != RelayMode::kBlackhole) {
          ForwardDatagram(size);
        }
        ReceiveDatagram();
      });
}

void FaultRelay::ForwardDatagram(std::size_t size) {
  auto bytes = std::make_shared<std::string>(m_datagram_buffer.data(), size);
  auto timer = std::make_shared<asio::steady_timer>(m_io);
  timer->expires_after(std::chrono::microseconds(m_delay_us));
  timer->async_wait([this, bytes, timer](const error_code&) {
    error_code ignored;
    m_udp_socket.send_to(
        asio::buffer(*bytes),
        {asio::ip::make_address(m_options.ip), m_options.target_port}, 0,
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
    pair->Start({asio::ip::make_address(m_options.ip), m_options.target_port});
    Accept();
  });
}

void FaultRelay::HandleControl(const Request& request,
                               const ReplyCallback& respond) {
  if (request.path == "/_standin/reset") {
    const auto pairs = m_pairs;
    std::ranges::for_each(pairs, [](const auto& pair) { pair->Close(true); });
  } else if (request.path == "/_standin/set") {
    m_delay_us = static_cast<std::uint64_t>(
        QueryNumber(request, "delay_us", static_cast<long>(m_delay_us)));
    m_rate = static_cast<std::uint64_t>(
        QueryNumber(request, "rate", static_cast<long>(m_rate)));
    m_hold_after = QueryNumber(request, "hold_after", m_hold_after);
    if (m_hold_after < 0) {
      m_held_connections = 0;
      std::ranges::for_each(m_pairs,
                            [](const auto& pair) { pair->ReleaseHeld(); });
    }
    const auto mode =
        std::ranges::find(kModeNames, QueryParameter(request, "mode", ""));
    if (mode != kModeNames.end()) {
      m_mode = static_cast<RelayMode>(mode - kModeNames.begin());
    }
    if (m_mode == RelayMode::kSilent) {
      std::ranges::for_each(m_pairs,
                            [](const auto& pair) { pair->SetSilent(); });
    }
  }
  respond(MakeReply(200, "pairs " + std::to_string(m_pairs.size()) + "\nheld " +
                             std::to_string(m_held_connections) + "\n"));
}

int RunRelay(int argc, char** argv) {
  cxxopts::Options options("yuccamast-standin relay",
                           "A TCP and UDP proxy that injects network faults.");
  options.add_options()("port", "TCP and UDP port to listen on",
                        cxxopts::value<std::uint16_t>())(
      "to", "TCP and UDP port to forward to", cxxopts::value<std::uint16_t>())(
      "control", "HTTP port of the control pages",
      cxxopts::value<std::uint16_t>())(
      "delay-us", "One-way delay in microseconds",
      cxxopts::value<std::uint64_t>()->default_value("0"));
  return RunWithOptions(options, argc, argv, [](const auto& parsed) {
    RelayOptions relay;
    relay.port = parsed["port"].template as<std::uint16_t>();
    relay.target_port = parsed["to"].template as<std::uint16_t>();
    relay.control_port = parsed["control"].template as<std::uint16_t>();
    relay.delay_us = parsed["delay-us"].template as<std::uint64_t>();
    asio::io_context io(1);
    FaultRelay standin(io, relay);
    io.run();
    return 0;
  });
}

}  // namespace yuccamast::standin
