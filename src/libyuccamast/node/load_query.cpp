#include "node/load_query.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>

#include "link/messages.h"

namespace yuccamast {

using boost::asio::ip::udp;
using boost::system::error_code;

namespace {

/// A question; the round and the target's place in it come back unchanged.
struct AskMessage {
  std::uint32_t version = kLinkVersion;
  std::uint64_t round = 0;
  std::uint32_t place = 0;

  MSGPACK_DEFINE(version, round, place)
};

struct ToldMessage {
  std::uint64_t round = 0;
  std::uint32_t place = 0;
  LoadReport load;

  MSGPACK_DEFINE(round, place, load)
};

}  // namespace

/// The questions before one choice.
struct LoadQueryClient::Round {
  explicit Round(boost::asio::io_context& io) : timer(io) {}

  std::uint64_t number = 0;
  std::vector<LoadQueryTarget> targets;
  std::vector<bool> answered;
  std::vector<bool> awaited;
  boost::asio::steady_timer timer;
  std::function<void()> done;
};

LoadQueryClient::LoadQueryClient(boost::asio::io_context& io, Metrics& metrics)
    : m_io(io), m_metrics(metrics), m_socket(io) {}

void LoadQueryClient::Open(const std::string& ip) {
  const udp::endpoint any_port(boost::asio::ip::make_address(ip), 0);
  m_socket.open(any_port.protocol());
  m_socket.bind(any_port);
  m_socket.non_blocking(true);
  Receive();
}

void LoadQueryClient::Close() {
  error_code ignored;
  m_socket.close(ignored);
}

void LoadQueryClient::Ask(const std::vector<LoadQueryTarget>& targets,
                          Duration limit,
                          std::function<void()> done) {
  const auto round = std::make_shared<Round>(m_io);
  round->number = ++m_last_round;
  round->targets = targets;
  round->answered.resize(targets.size());
  round->done = std::move(done);
  m_rounds[round->number] = round;
  for (std::uint32_t place = 0; place < targets.size(); ++place) {
    const LoadQueryTarget& target = targets[place];
    round->awaited.push_back(!target.state->unresponsive());
    target.state->OnLoadQuerySent();
    msgpack::sbuffer bytes;
    msgpack::pack(bytes, AskMessage{kLinkVersion, round->number, place});
    error_code failed;  // A datagram that is not sent is one that is lost.
    m_socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()),
                     target.exit, 0, failed);
    m_metrics.Add(Counter::kLoadAsked);
  }
  if (std::ranges::find(round->awaited, true) == round->awaited.end()) {
    Finish(round);
    return;
  }
  round->timer.expires_after(limit);
  round->timer.async_wait([this, round](const error_code& error) {
    if (!error) {
      Finish(round);
    }
  });
}

void LoadQueryClient::Finish(const std::shared_ptr<Round>& round) {
  m_rounds.erase(round->number);
  round->timer.cancel();
  if (const auto done = std::exchange(round->done, nullptr)) {
    done();
  }
}

void LoadQueryClient::Receive() {
  m_socket.async_receive_from(
      boost::asio::buffer(m_buffer), m_from,
      [this](const error_code& error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          OnDatagram(size);
        }
        Receive();
      });
}

void LoadQueryClient::OnDatagram(std::size_t size) {
  const auto told = Unpack<ToldMessage>({m_buffer.data(), size});
  if (!told) {
    m_metrics.Add(Counter::kControlMessagesRefused);
    return;
  }
  const auto found = m_rounds.find(told->round);
  const auto round = found == m_rounds.end() ? nullptr : found->second.lock();
  if (round == nullptr || told->place >= round->targets.size()) {
    return;  // Too late; the choice is made.
  }
  const LoadQueryTarget& target = round->targets[told->place];
  if (target.exit != m_from || round->answered[told->place]) {
    return;
  }
  round->answered[told->place] = true;
  target.state->OnReport(told->load, Clock::now());
  bool open = false;
  for (std::size_t i = 0; i < round->targets.size(); ++i) {
    open = open || (round->awaited[i] && !round->answered[i]);
  }
  if (!open) {
    Finish(round);
  }
}

LoadQueryServer::LoadQueryServer(boost::asio::io_context& io,
                                 Metrics& metrics,
                                 ReportHook report)
    : m_metrics(metrics), m_report(std::move(report)), m_socket(io) {}

void LoadQueryServer::Open(const std::string& ip, std::uint16_t port) {
  const udp::endpoint endpoint(boost::asio::ip::make_address(ip), port);
  m_socket.open(endpoint.protocol());
  m_socket.bind(endpoint);
  m_socket.non_blocking(true);
  Receive();
}

void LoadQueryServer::Close() {
  error_code ignored;
  m_socket.close(ignored);
}

void LoadQueryServer::Receive() {
  m_socket.async_receive_from(
      boost::asio::buffer(m_buffer), m_from,
      [this](const error_code& error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          OnDatagram(size);
        }
        Receive();
      });
}

void LoadQueryServer::OnDatagram(std::size_t size) {
  const auto asked = Unpack<AskMessage>({m_buffer.data(), size});
  if (!asked || asked->version != kLinkVersion) {
    m_metrics.Add(Counter::kControlMessagesRefused);
    return;
  }
  m_report([this, asked = *asked, to = m_from](const LoadReport& load) {
    msgpack::sbuffer bytes;
    msgpack::pack(bytes, ToldMessage{asked.round, asked.place, load});
    error_code failed;
    m_socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()), to, 0,
                     failed);
  });
}

}  // namespace yuccamast
