#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "http/memory_budget.h"
#include "http/upstream_pool.h"
#include "link/server.h"
#include "node/fleet_view.h"
#include "node/settings.h"
#include "yuccamast/admission/admission.h"
#include "yuccamast/membership/pause_detector.h"
#include "yuccamast/outcome/call_life.h"
#include "yuccamast/outcome/sequence_window.h"

/// \file exit_calls.h
/// The calls that an exit holds, from their offer to their one answer.
///
/// All of it runs on one thread, so slots, queue and the decision between
/// start and cancel need no lock and are exact. Whether a call was started is
/// decided by `CallLife::TryStart`, in the `start` hook that runs right before
/// the first byte is written to the upstream.

namespace yuccamast {

/// Use from the thread of its io_context only.
class ExitCalls {
 public:
  ExitCalls(boost::asio::io_context& io,
            const NodeSettings& settings,
            FleetStore& store,
            Metrics& metrics,
            MemoryBudget& budget,
            std::uint64_t boot_id);
  ~ExitCalls();

  /// Begins to expire queued calls. Call once.
  void Start() { ArmTick(); }

  /// Takes an offer as it was read from a peer. `key` names it in `Cancel`.
  void Offer(const std::string& bytes,
             const StreamReply& reply,
             std::uint64_t key);

  /// The entry gave the offer up or is gone.
  void Cancel(std::uint64_t key);

  /// Refuses new offers from now on; queued and running calls go on.
  void StartLeaving();
  bool leaving() const { return m_leaving; }

  /// Whether no call is held.
  bool Drained() const { return m_calls.empty(); }

  /// Stops the timer and closes idle connections to the upstream.
  void Close();

  LoadReport Report() const;
  JsonValue ToJson() const;

  /// Ids of the calls held, for the log of an overrun stop.
  std::vector<std::string> CallIds() const;

 private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  std::optional<RefusalReason> CheckOffer(const OfferMessage& offer,
                                          TimePoint now);
  void Admit(const CallPtr& call, TimePoint now);
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
