#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "http/memory_budget.h"
#include "http/upstream_pool.h"
#include "link/server.h"
#include "node/fleet_view.h"
#include "node/settings.h"
#include "yuccamast/admission/admission.h"
#include "yuccamast/membership/pause_detector.h"
#include "yuccamast/outcome/call_life.h"
#include "yuccamast/outcome/sequence_window.h"

/// \file exit_face.h
/// The exit: the only way to the upstream beside the node.
///
/// All of it runs on one thread, so slots, queue and the decision between
/// start and cancel need no lock and are exact. An offer ends in exactly one
/// answer. Whether a call was started is decided by `CallLife::TryStart`, in
/// the `start` hook that runs right before the first byte is written.

namespace yuccamast {

/// Handles a control message; the bytes returned are the answer, and nothing
/// means that the message is refused.
using ControlMessageHook =
    std::function<std::optional<std::string>(std::string bytes)>;

/// Use from the thread of its io_context only, but for the constructor.
class ExitFace {
 public:
  ExitFace(boost::asio::io_context& io,
           const NodeSettings& settings,
           FleetStore& store,
           Metrics& metrics,
           MemoryBudget& budget,
           std::uint64_t boot_id);
  ~ExitFace();

  /// Listens for peers. Throws boost::system::system_error if it cannot.
  void Listen();

  /// Handles control messages from peers; set before `Listen`.
  void SetControlHook(ControlMessageHook hook) {
    m_control_hook = std::move(hook);
  }

  /// Refuses new offers from now on; queued and running calls go on.
  void StartLeaving();
  bool leaving() const { return m_leaving; }

  /// Stops listening and tells every peer which of its offers were the last
  /// to be processed, so that later ones are proven not run.
  void Terminate();

  /// Whether every peer has closed its connection.
  bool PeersGone() const { return m_sessions.empty(); }

  /// Closes what is still open.
  void Close();

  /// Whether no call is held.
  bool Drained() const { return m_calls.empty(); }

  LoadReport Report() const;
  JsonValue ToJson() const;

  /// Ids of the calls held, for the log of an overrun stop.
  std::vector<std::string> CallIds() const;

 private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  void Accept();
  void AddSession(boost::asio::ip::tcp::socket socket);
  void OnMessage(LinkPath path,
                 std::string bytes,
                 const StreamReply& reply,
                 std::uint64_t key);
  void OnOffer(std::string bytes, const StreamReply& reply, std::uint64_t key);
  std::optional<RefusalReason> CheckOffer(const OfferMessage& offer,
                                          TimePoint now);
  void Admit(const CallPtr& call, TimePoint now);
  void OnCancelled(std::uint64_t key);
  void StartRun(const CallPtr& call);
  void OnRunDone(const CallPtr& call, UpstreamResult result);
  void OnDeadline(const CallPtr& call);
  void StartQueued();
  void AnswerRefusal(const StreamReply& reply, RefusalReason reason) const;
  void RefuseCall(const CallPtr& call, RefusalReason reason);
  void Discard(const CallPtr& call);
  void ReleaseSlot(const CallPtr& call, bool counts);
  void ArmTick();
  void OnTick();
  void CheckPause(TimePoint now);
  void RefreshLimits();
  UpstreamRequest BuildRequest(Call& call) const;
  bool IsShed(const HttpReply& reply) const;

  boost::asio::io_context& m_io;
  const NodeSettings& m_settings;
  FleetStore& m_store;
  Metrics& m_metrics;
  MemoryBudget& m_budget;
  const std::uint64_t m_boot_id;
  ControlMessageHook m_control_hook;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::map<LinkServer*, std::shared_ptr<LinkServer>> m_sessions;
  std::uint32_t m_session_count = 0;
  Admission m_admission;
  std::unique_ptr<UpstreamPool> m_upstream;
  std::shared_ptr<const Configuration> m_limits_from;
  std::unordered_map<CallTicket, CallPtr> m_calls;
  std::unordered_map<std::uint64_t, CallTicket> m_by_key;
  std::map<std::pair<std::string, std::uint64_t>, SequenceWindow> m_windows;
  CallTicket m_last_ticket = 0;
  boost::asio::steady_timer m_tick;
  PauseDetector m_pause;
  bool m_leaving = false;
  bool m_closed = false;
};

}  // namespace yuccamast
