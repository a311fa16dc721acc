#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "link/client.h"
#include "metrics/metrics.h"

/// \file peer_link.h
/// The connection of one entry thread to one peer: connects on demand, replaces
/// a connection that stopped responding, and reports the outcome of each offer.
///
/// The input is whole messages; all of them, also control messages, are called
/// offers here. Each is sent as one stream of an HTTP/2 connection
/// (`LinkClient`) and ends in exactly one `StreamOutcome`. There is at most one
/// connection for new offers and one connect in progress.
///
/// When a connection turns suspect (a PING went unanswered for too long, see
/// `LinkSession`), it takes no new offers: the next offer goes to a new
/// connection beside it, so a path that a middlebox dropped silently delays
/// offers only until the connection is suspect. Offers on the suspect
/// connection stay on it, and their owner is told by `on_suspect` and decides
/// what to do. After a failed connect, offers fail at once with `kNotProcessed`
/// until a short delay (`kConnectRetryDelay`) is over.

namespace yuccamast {

/// Callbacks and options of one offer. The callbacks are called on the link's
/// thread.
struct OfferHooks {
  /// Called exactly once, unless the offer is cancelled or the link is
  /// destroyed first.
  AnswerHook on_answer;
  /// The connection that carries the offer turned suspect. May be empty.
  std::function<void()> on_suspect;
  /// The offer must not be lost on a connection that has already failed: it is
  /// sent only on a connection that received something recently or that is
  /// new. Until then it waits, and the connection is checked by a PING.
  bool needs_live_connection = false;
};

/// Identifies an offer within one link; never 0.
using OfferId = std::uint64_t;

/// Use from the thread of its io_context only. Must be owned by a shared_ptr.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  /// `options` and `metrics` must outlive the link. `generation` must be
  /// greater than that of every earlier link of this process to the same peer
  /// if offers are numbered by `NextSequence`.
  PeerLink(boost::asio::io_context& io,
           tcp::endpoint endpoint,
           const LinkOptions& options,
           Metrics& metrics,
           std::uint64_t generation = 0);

  /// Sends a whole message to the peer, connecting first if there is no usable
  /// connection. The outcome goes to `hooks.on_answer`.
  OfferId Send(LinkPath path, std::string bytes, OfferHooks hooks);

  /// Abandons an offer; its hooks are not called any more. Returns true if it
  /// is proven that the peer never acts on the offer; false if it may, or if
  /// the id is unknown or already answered.
  bool Cancel(OfferId id);

  /// Sequence number for the next offer to this peer. Every number of a link is
  /// greater than all numbers of a link with a smaller generation.
  std::uint64_t NextSequence() { return ++m_sequence; }

  /// Closes the current connection; the offers sent on it end with an outcome.
  /// A connect in progress goes on; offers that are not sent yet stay open.
  void Close();

  /// Closes the connection if no offer is open.
  void CloseIfIdle();

  tcp::endpoint endpoint() const { return m_endpoint; }
  /// Smoothed round trip of the current connection; zero before its first
  /// measurement. Without a connection: that of the last one that turned
  /// suspect or got a GOAWAY after a measurement; zero if none did.
  Duration round_trip() const {
    return m_client == nullptr ? m_round_trip : m_client->round_trip();
  }
  /// Time since the current connection last received something;
  /// `Duration::max()` without a connection.
  Duration TimeSinceReceive(TimePoint now) const {
    return m_client == nullptr ? Duration::max()
                               : m_client->TimeSinceReceive(now);
  }
  std::size_t open_offers() const { return m_offers.size(); }
  bool connected() const { return m_client != nullptr && m_client->usable(); }

 private:
  struct Offer {
    LinkPath path = LinkPath::kCall;
    std::string bytes;  ///< Empty once sent.
    /// For `bytes` while they wait for a connection.
    std::optional<MemoryReservation> memory;
    OfferHooks hooks;
    std::shared_ptr<LinkClient> client;  ///< Null until sent.
    std::int32_t stream = -1;
  };

  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void SendNow(OfferId id, Offer& offer);
  void SendUnsent();
  /// Whether the connection received something within `kProvenAliveAge`.
  bool IsProvenAlive() const;
  void Finish(OfferId id, StreamOutcome outcome, std::string bytes);
  /// The connection of `client` turned suspect, got a GOAWAY or was closed.
  void OnClientStateChange(LinkClient* client);
  void FailUnsent();

  boost::asio::io_context& m_io;
  const tcp::endpoint m_endpoint;
  const LinkOptions& m_options;
  Metrics& m_metrics;
  std::map<OfferId, Offer> m_offers;
  std::shared_ptr<LinkClient> m_client;       ///< Takes new offers.
  std::unique_ptr<tcp::socket> m_connecting;  ///< Connect in progress.
  asio::steady_timer m_connect_timer;
  TimePoint m_connect_not_before{};  ///< Set by a failed connect.
  Duration m_round_trip{};
  OfferId m_last_id = 0;
  std::uint64_t m_sequence = 0;
};

}  // namespace yuccamast
