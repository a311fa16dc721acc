#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "link/client.h"
#include "metrics/metrics.h"

/// \file peer_link.h
/// The way from one entry thread to one peer: connects when needed, replaces
/// a connection that fell silent, and tells what became of each offer.
///
/// When a connection turns suspect it takes no new offers; the next offer goes
/// to a fresh connection beside it, so a path that was lost by something in
/// between costs no more than the silence bound. Offers on the suspect
/// connection stay there: whoever made them decides what to do.

namespace yuccamast {

/// Hooks of one offer, called on the link's thread.
struct OfferHooks {
  AnswerHook on_answer;              ///< Exactly once, unless cancelled.
  std::function<void()> on_suspect;  ///< The connection fell silent.
  /// The offer may not be lost on a connection that is silent already: it
  /// waits for a sign of life, or for a fresh connection, before it is sent.
  bool needs_live_connection = false;
};

using OfferId = std::uint64_t;

/// Use from the thread of its io_context only.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  PeerLink(boost::asio::io_context& io,
           tcp::endpoint endpoint,
           const LinkOptions& options,
           Metrics& metrics,
           std::uint64_t generation = 0);

  /// Sends a whole message to the peer.
  OfferId Send(LinkPath path, std::string bytes, OfferHooks hooks);

  /// Gives an offer up. Its hooks are not called any more. True is proof that
  /// the peer never acts on it.
  bool Cancel(OfferId id);

  /// Number for the next offer to this peer. Numbers of a later generation
  /// of the link are above all of an earlier one.
  std::uint64_t NextSequence() { return ++m_sequence; }

  /// Closes all connections; open offers are told.
  void Close();

  /// Closes the connection if nothing is open on it.
  void CloseIfIdle();

  tcp::endpoint endpoint() const { return m_endpoint; }
  Duration round_trip() const {
    return m_client == nullptr ? m_round_trip : m_client->round_trip();
  }
  std::size_t open_offers() const { return m_offers.size(); }
  bool connected() const { return m_client != nullptr && m_client->usable(); }

 private:
  struct Offer {
    LinkPath path = LinkPath::kCall;
    std::string bytes;  ///< Until it is sent.
    OfferHooks hooks;
    std::shared_ptr<LinkClient> client;
    std::int32_t stream = -1;
  };

  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void SendNow(OfferId id, Offer& offer);
  void SendUnsent();
  bool IsProvenAlive() const;
  void Finish(OfferId id, StreamOutcome outcome, std::string bytes);
  void OnClientChange(LinkClient* client);
  void FailUnsent();

  boost::asio::io_context& m_io;
  const tcp::endpoint m_endpoint;
  const LinkOptions& m_options;
  Metrics& m_metrics;
  std::map<OfferId, Offer> m_offers;
  std::shared_ptr<LinkClient> m_client;
  std::unique_ptr<tcp::socket> m_connecting;
  asio::steady_timer m_connect_timer;
  TimePoint m_retry_at{};
  Duration m_round_trip{};
  OfferId m_last_id = 0;
  std::uint64_t m_sequence = 0;
};

}  // namespace yuccamast
