#include "node/load_query.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>

#include "link/messages.h"
#include "node/bind.h"

namespace yuccamast {

using boost::asio::ip::udp;
using boost::system::error_code;

namespace {

/// A load query. `round` and `target_index` are returned in the response.
struct LoadQueryMessage {
  std::uint32_t version = kLinkVersion;
  std::uint64_t round = 0;
  std::uint32_t target_index = 0;

  MSGPACK_DEFINE(version, round, target_index)
};

/// The response to a load query.
struct LoadResponseMessage {
  std::uint64_t round = 0;
  std::uint32_t target_index = 0;
  LoadReport load;

  MSGPACK_DEFINE(round, target_index, load)
};

/// Time for which a round still notices late answers.
constexpr Duration kLateAnswerTime = std::chrono::milliseconds(60);

}  // namespace

/// The queries of one invocation of `Query`.
struct LoadQueryClient::Round {
  explicit Round(boost::asio::io_context& io) : timer(io) {}

  std::uint64_t number = 0;
  std::vector<LoadQueryTarget> targets;
  std::vector<bool> answered;
  std::vector<bool> awaited;
  TimePoint sent_at;
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
  StartReceive();
}

void LoadQueryClient::Close() {
  error_code ignored;
  m_socket.close(ignored);
}

void LoadQueryClient::Query(const std::vector<LoadQueryTarget>& targets,
                            Duration limit,
                            std::function<void()> done) {
  const auto round = std::make_shared<Round>(m_io);
  round->number = ++m_last_round;
  round->targets = targets;
  round->answered.resize(targets.size());
  round->done = std::move(done);
  round->sent_at = Clock::now();
  m_rounds[round->number] = round;
  for (std::uint32_t target_index = 0; target_index < targets.size();
       ++target_index) {
    const LoadQueryTarget& target = targets[target_index];
    round->awaited.push_back(!target.state->unresponsive());
    target.state->OnLoadQuerySent();
    msgpack::sbuffer bytes;
    msgpack::pack(bytes,
                  LoadQueryMessage{kLinkVersion, round->number, target_index});
    // A failed send is treated like a lost datagram.
    error_code failed;
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
  round->timer.cancel();
  if (std::ranges::find(round->answered, false) == round->answered.end()) {
    m_rounds.erase(round->number);
  } else {
    round->timer.expires_after(kLateAnswerTime);
    round->timer.async_wait([this, round](const error_code& error) {
      if (!error) {
        m_rounds.erase(round->number);
      }
    });
  }
  if (const auto done = std::exchange(round->done, nullptr)) {
    done();
  }
}

void LoadQueryClient::StartReceive() {
  m_socket.async_receive_from(
      boost::asio::buffer(m_buffer), m_sender,
      [this](const error_code& error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          OnDatagram(size);
        }
        StartReceive();
      });
}

void LoadQueryClient::OnDatagram(std::size_t size) {
  const auto response = Unpack<LoadResponseMessage>({m_buffer.data(), size});
  if (!response) {
    m_metrics.Add(Counter::kControlMessagesRefused);
    return;
  }
  const auto found = m_rounds.find(response->round);
  const auto round = found == m_rounds.end() ? nullptr : found->second.lock();
  if (round == nullptr || response->target_index >= round->targets.size()) {
    return;  // Far too late, or a wrong index.
  }
  const LoadQueryTarget& target = round->targets[response->target_index];
  if (target.exit != m_sender || round->answered[response->target_index]) {
    return;
  }
  round->answered[response->target_index] = true;
  const TimePoint now = Clock::now();
  target.state->OnLoadQueryAnswered(now - round->sent_at);
  if (!round->done) {
    // The choice was made without this report, and calls may have been sent
    // since that it does not count.
    return;
  }
  target.state->OnReport(response->load, now);
  bool pending = false;
  for (std::size_t i = 0; i < round->targets.size(); ++i) {
    pending = pending || (round->awaited[i] && !round->answered[i]);
  }
  if (!pending) {
    Finish(round);
  }
}

LoadQueryServer::LoadQueryServer(boost::asio::io_context& io,
                                 Metrics& metrics,
                                 ReportHook report)
    : m_metrics(metrics), m_get_report(std::move(report)), m_socket(io) {}

void LoadQueryServer::Open(const std::string& ip, std::uint16_t port) {
  const udp::endpoint endpoint(boost::asio::ip::make_address(ip), port);
  m_socket.open(endpoint.protocol());
  BindWhenFree(m_socket, endpoint);
  m_socket.non_blocking(true);
  StartReceive();
}

void LoadQueryServer::Close() {
  error_code ignored;
  m_socket.close(ignored);
}

void LoadQueryServer::StartReceive() {
  m_socket.async_receive_from(
      boost::asio::buffer(m_buffer), m_sender,
      [this](const error_code& error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          OnDatagram(size);
        }
        StartReceive();
      });
}

void LoadQueryServer::OnDatagram(std::size_t size) {
  const auto query = Unpack<LoadQueryMessage>({m_buffer.data(), size});
  if (!query || query->version != kLinkVersion) {
    m_metrics.Add(Counter::kControlMessagesRefused);
    return;
  }
  m_get_report([this, query = *query, to = m_sender](const LoadReport& load) {
    msgpack::sbuffer bytes;
    msgpack::pack(bytes,
                  LoadResponseMessage{query.round, query.target_index, load});
    error_code failed;
    m_socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()), to, 0,
                     failed);
  });
}

}  // namespace yuccamast
