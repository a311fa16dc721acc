#include "node/peer_link.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <vector>

#include "log/log.h"

namespace yuccamast {

namespace {

/// Delay after a failed connect during which offers fail without a connect.
constexpr Duration kConnectRetryDelay = std::chrono::milliseconds(100);

/// Bits of a sequence number that count the offers of one generation of a link;
/// the bits above hold the generation.
constexpr unsigned kSequenceBits = 40;

/// A connection that received something within this time counts as alive.
constexpr Duration kProvenAliveAge = std::chrono::milliseconds(300);

std::string ToText(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace

PeerLink::PeerLink(boost::asio::io_context& io,
                   tcp::endpoint endpoint,
                   const LinkOptions& options,
                   Metrics& metrics,
                   std::uint64_t generation)
    : m_io(io),
      m_endpoint(std::move(endpoint)),
      m_options(options),
      m_metrics(metrics),
      m_connect_timer(io),
      m_sequence(generation << kSequenceBits) {}

OfferId PeerLink::Send(LinkPath path, std::string bytes, OfferHooks hooks) {
  const OfferId id = ++m_last_id;
  Offer& offer = m_offers[id];
  offer.path = path;
  offer.bytes = std::move(bytes);
  offer.hooks = std::move(hooks);
  if (connected() && (!offer.hooks.needs_live_connection || IsProvenAlive())) {
    SendNow(id, offer);
    return id;
  }
  offer.memory.emplace(m_options.Budget(), MemoryUse::kQueued);
  offer.memory->SetTo(offer.bytes.capacity(), MemoryUse::kQueued);
  if (connected()) {
    m_client->NotifyOnNextReceive([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->SendUnsent();
      }
    });
    m_client->PingNow();
    return id;
  }
  if (Clock::now() < m_connect_not_before) {
    asio::post(m_io, [self = shared_from_this(), id] {
      self->Finish(id, StreamOutcome::kNotProcessed, "");
    });
    return id;
  }
  Connect();
  return id;
}

bool PeerLink::IsProvenAlive() const {
  return m_client->TimeSinceReceive(Clock::now()) < kProvenAliveAge;
}

void PeerLink::SendNow(OfferId id, Offer& offer) {
  offer.memory.reset();  // The session counts the bytes from here on.
  offer.client = m_client;
  offer.stream = m_client->Send(
      offer.path, std::move(offer.bytes),
      [weak = weak_from_this(), id](StreamOutcome outcome, std::string bytes) {
        if (const auto self = weak.lock()) {
          self->Finish(id, outcome, std::move(bytes));
        }
      });
  if (offer.stream < 0) {
    asio::post(m_io, [self = shared_from_this(), id] {
      self->Finish(id, StreamOutcome::kNotProcessed, "");
    });
  }
}

void PeerLink::Finish(OfferId id, StreamOutcome outcome, std::string bytes) {
  auto extracted = m_offers.extract(id);
  if (!extracted.empty()) {
    extracted.mapped().hooks.on_answer(outcome, std::move(bytes));
  }
}

bool PeerLink::Cancel(OfferId id) {
  auto extracted = m_offers.extract(id);
  if (extracted.empty()) {
    return false;
  }
  if (extracted.mapped().client == nullptr) {
    return true;
  }
  return extracted.mapped().client->Cancel(extracted.mapped().stream);
}

void PeerLink::Connect() {
  if (m_connecting != nullptr) {
    return;
  }
  m_connecting = std::make_unique<tcp::socket>(m_io);
  m_metrics.Add(Counter::kPeerConnects);
  m_connecting->async_connect(
      m_endpoint,
      [self = shared_from_this()](const boost::system::error_code& error) {
        self->OnConnected(error);
      });
  m_connect_timer.expires_after(m_options.connect_timeout);
  m_connect_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && self->m_connecting != nullptr) {
          boost::system::error_code ignored;
          self->m_connecting->close(ignored);
        }
      });
}

void PeerLink::OnConnected(const boost::system::error_code& error) {
  const auto socket = std::move(m_connecting);
  m_connect_timer.cancel();
  if (error || socket == nullptr || !socket->is_open()) {
    m_connect_not_before = Clock::now() + kConnectRetryDelay;
    FailUnsent();
    return;
  }
  m_client = std::make_shared<LinkClient>(std::move(*socket), m_options);
  LinkClient* raw = m_client.get();
  m_client->Run([weak = weak_from_this(), raw] {
    if (const auto self = weak.lock()) {
      self->OnClientStateChange(raw);
    }
  });
  Log(LogLevel::kDebug, LogEvent::kPeerConnected,
      {{"peer", ToText(m_endpoint)}});
  SendUnsent();
}

void PeerLink::SendUnsent() {
  if (!connected()) {
    return;
  }
  std::vector<OfferId> unsent;
  std::ranges::for_each(m_offers, [&](auto& item) {
    if (item.second.client == nullptr) {
      unsent.push_back(item.first);
    }
  });
  std::ranges::for_each(unsent, [this](OfferId id) {
    const auto offer = m_offers.find(id);
    if (offer != m_offers.end() && offer->second.client == nullptr) {
      SendNow(id, offer->second);
    }
  });
}

void PeerLink::FailUnsent() {
  std::vector<OfferId> unsent;
  std::ranges::for_each(m_offers, [&](auto& item) {
    if (item.second.client == nullptr) {
      unsent.push_back(item.first);
    }
  });
  std::ranges::for_each(unsent, [this](OfferId id) {
    Finish(id, StreamOutcome::kNotProcessed, "");
  });
}

void PeerLink::OnClientStateChange(LinkClient* client) {
  if (client->closed()) {
    m_metrics.Add(Counter::kPeerLosses);
    Log(LogLevel::kDebug, LogEvent::kPeerLost, {{"peer", ToText(m_endpoint)}});
  } else if (client->round_trip() > Duration::zero()) {
    m_round_trip = client->round_trip();
  }
  if (m_client.get() == client && !client->usable()) {
    m_client.reset();
    const bool unsent = std::ranges::any_of(m_offers, [](const auto& item) {
      return item.second.client == nullptr;
    });
    if (unsent) {
      Connect();
    }
  }
  if (!client->suspect()) {
    return;
  }
  std::vector<std::function<void()>> hooks;
  std::ranges::for_each(m_offers, [&](auto& item) {
    if (item.second.client.get() == client) {
      hooks.push_back(item.second.hooks.on_suspect);
    }
  });
  std::ranges::for_each(hooks, [](const auto& hook) {
    if (hook) {
      hook();
    }
  });
}

void PeerLink::Close() {
  const auto client = std::move(m_client);
  m_client.reset();
  if (client != nullptr) {
    client->Close();
  }
}

void PeerLink::CloseIfIdle() {
  if (m_offers.empty()) {
    Close();
  }
}

}  // namespace yuccamast
