#include "node/entry_worker.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <future>
#include <sstream>

#include "log/log.h"
#include "node/bind.h"

namespace yuccamast {

namespace {

/// Period of the pause check and of closing unlisted links.
constexpr Duration kTickPeriod = std::chrono::milliseconds(100);
/// Gap between two pause checks that counts as a pause of the process.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(400);
/// Time after a pause in which requests from before it may still be read.
constexpr Duration kPauseSettleTime = std::chrono::milliseconds(50);
/// Delay after a failed accept.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(20);

/// `Retry-After` is random between the floor and the floor plus the spread, so
/// that refused callers do not retry all at the same time.
constexpr std::uint64_t kRetryAfterFloorMs = 100;
constexpr std::uint64_t kRetryAfterSpreadMs = 400;

std::string ToHex(std::uint64_t value) {
  std::ostringstream text;
  text << std::hex << value;
  return text.str();
}

using ReusePort =
    boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

}  // namespace

EntryWorker::EntryWorker(EntrySharedState& shared, std::uint64_t boot_id)
    : m_shared(shared),
      m_io(1),
      m_acceptor(m_io),
      m_tick_timer(m_io),
      m_load_query_client(m_io, shared.metrics),
      m_context{m_io,
                shared.settings,
                shared.view_store,
                shared.metrics,
                ToHex(boot_id),
                boot_id,
                0,
                {},
                {},
                {},
                {},
                m_load_query_client,
                {},
                {},
                shared.at_step,
                {},
                {}},
      m_pause_detector(kPauseThreshold, kPauseSettleTime, Clock::now()) {
  std::seed_seq seed{boot_id, boot_id >> 32U};
  m_context.random.seed(seed);
  m_context.link_to = [this](const tcp::endpoint& endpoint) {
    return FindOrAddLink(endpoint);
  };
  m_context.running_call_ids = &shared.running_call_ids;
  m_context.budget = &shared.budget;
  m_context.admit_until = [this] {
    return m_shared.admit_until.load(std::memory_order_relaxed);
  };
  m_context.local_service = [this] { return *m_shared.service.load(); };
  m_context.check_view_stale = [this] {
    const TimePoint now = Clock::now();
    if (m_pause_detector.Check(now) > Duration::zero()) {
      m_shared.metrics.Add(Counter::kPauses);
      Log(LogLevel::kWarning, LogEvent::kPauseNoticed, {{"face", "entry"}});
      m_shared.view_store.MarkStale();
    }
    return m_pause_detector.IsSettling(now) || m_shared.view_store.IsStale();
  };
  m_hooks.handle_call = [this](CallerRequest request,
                               std::function<void(CallerReply)> done) {
    return HandleCall(std::move(request), std::move(done));
  };
  m_hooks.may_overlap = [this](const CallerRequest& request) {
    const auto view = m_shared.view_store.Load();
    return view->config != nullptr &&
           EntryCall::MayOverlap(*view->config, request);
  };
  m_hooks.leaving = [this] {
    return m_shared.leaving.load(std::memory_order_relaxed);
  };
  m_hooks.on_closed = [this](CallerConnection* connection) {
    if (m_callers.erase(connection) > 0) {
      m_shared.connections.fetch_sub(1, std::memory_order_relaxed);
    }
  };
  m_hooks.retry_after = [this] {
    return std::chrono::milliseconds(kRetryAfterFloorMs +
                                     m_context.random() % kRetryAfterSpreadMs);
  };
  m_hooks.limits = [this] { return EffectiveLimits(); };
}

EntryWorker::~EntryWorker() {
  boost::asio::post(m_io, [this] {
    StopAccepting();
    m_load_query_client.Close();
    m_tick_timer.cancel();
    const auto links = m_links;
    std::ranges::for_each(links,
                          [](const auto& item) { item.second->Close(); });
    m_work_guard.reset();
    m_io.stop();
  });
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void EntryWorker::Start() {
  const tcp::endpoint endpoint(
      boost::asio::ip::make_address(m_shared.settings.ip),
      m_shared.settings.caller_port);
  m_acceptor.open(endpoint.protocol());
  m_acceptor.set_option(tcp::acceptor::reuse_address(true));
  m_acceptor.set_option(ReusePort(true));
  BindWhenFree(m_acceptor, endpoint);
  m_acceptor.listen();
  m_work_guard.emplace(m_io.get_executor());
  if (m_shared.settings.asks_load) {
    m_load_query_client.Open(m_shared.settings.ip);
  }
  Accept();
  ArmTick();
  m_thread = std::thread([this] { m_io.run(); });
}

bool EntryWorker::RunOnWorkerThread(std::function<void()> work,
                                    Duration limit) {
  const auto done = std::make_shared<std::promise<void>>();
  auto future = done->get_future();
  boost::asio::post(m_io, [work = std::move(work), done] {
    work();
    done->set_value();
  });
  return future.wait_for(limit) == std::future_status::ready;
}

void EntryWorker::Accept() {
  m_acceptor.async_accept(
      [this](const boost::system::error_code& error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted ||
            !m_acceptor.is_open()) {
          return;
        }
        if (error) {
          // Most likely out of file descriptors: accepts again after a delay,
          // when other connections may have been closed.
          m_tick_timer.expires_after(kAcceptRetryDelay);
          m_tick_timer.async_wait([this](const boost::system::error_code&) {
            Accept();
            ArmTick();
          });
          return;
        }
        AddCaller(std::move(socket));
        Accept();
      });
}

CallerLimits EntryWorker::EffectiveLimits() const {
  CallerLimits limits = m_shared.settings.caller;
  const auto view = m_shared.view_store.Load();
  if (view->config == nullptr) {
    return limits;
  }
  const CallerBounds& bounds = view->config->callers;
  limits.max_head_bytes = bounds.max_head_bytes.value_or(limits.max_head_bytes);
  limits.max_body_bytes = bounds.max_body_bytes.value_or(limits.max_body_bytes);
  if (bounds.head_timeout) {
    limits.head_timeout = *bounds.head_timeout;
  }
  if (bounds.idle_timeout) {
    limits.idle_timeout = *bounds.idle_timeout;
  }
  return limits;
}

void EntryWorker::AddCaller(tcp::socket socket) {
  auto connection = std::make_shared<CallerConnection>(
      std::move(socket), *m_shared.settings.dialect, m_shared.budget,
      m_shared.metrics, m_hooks);
  m_callers[connection.get()] = connection;
  const std::size_t open =
      m_shared.connections.fetch_add(1, std::memory_order_relaxed) + 1;
  if (open > m_shared.settings.caller.max_connections) {
    m_shared.metrics.Add(Counter::kCallerConnectionsRefused);
    connection->RefuseAndClose(RefusalReason::kTooManyConnections);
    return;
  }
  m_shared.metrics.Add(Counter::kCallerConnections);
  connection->Start();
}

CallHandle EntryWorker::HandleCall(CallerRequest request,
                                   std::function<void(CallerReply)> done) {
  auto call = std::make_shared<EntryCall>(m_context, std::move(request),
                                          std::move(done));
  call->on_finished = [this](EntryCall* finished) { m_calls.erase(finished); };
  m_calls[call.get()] = call;
  call->Begin();
  return {[weak = std::weak_ptr<EntryCall>(call)] {
            if (const auto alive = weak.lock()) {
              alive->OnCallerDisconnect();
            }
          },
          call->may_overlap()};
}

std::shared_ptr<PeerLink> EntryWorker::FindOrAddLink(
    const tcp::endpoint& endpoint) {
  auto& link = m_links[endpoint];
  if (link == nullptr) {
    link = std::make_shared<PeerLink>(m_io, endpoint, m_shared.settings.link,
                                      m_shared.metrics, ++m_link_generation);
  }
  return link;
}

void EntryWorker::ArmTick() {
  m_tick_timer.expires_after(kTickPeriod);
  m_tick_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      OnTick();
    }
  });
}

void EntryWorker::OnTick() {
  m_context.check_view_stale();
  CloseUnlistedLinks();
  CloseMemoryHolders();
  ArmTick();
}

void EntryWorker::CloseMemoryHolders() {
  const std::size_t turned_away = m_shared.budget.turned_away();
  const bool is_short =
      std::exchange(m_turned_away, turned_away) != turned_away;
  const std::size_t excess = m_shared.budget.Excess(is_short);
  if (excess == 0) {
    return;
  }
  const TimePoint now = Clock::now();
  std::vector<std::shared_ptr<CallerConnection>> callers;
  std::vector<MemoryHolder> holders;
  std::ranges::for_each(m_callers, [&](const auto& item) {
    callers.push_back(item.second);
    holders.push_back(item.second->memory_held());
  });
  std::ranges::for_each(
      ChooseHoldersToClose(holders, excess, now), [&](std::size_t i) {
        if (TakeLogToken(LogClass::kDecision)) {
          Log(LogLevel::kWarning, LogEvent::kCallerClosedForMemory,
              {{"bytes", holders[i].bytes},
               {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                          now - holders[i].since)
                          .count()},
               {"held", m_shared.budget.used()},
               {"limit", m_shared.budget.limit()}});
        }
        callers[i]->CloseForMemory();
      });
}

void EntryWorker::CloseUnlistedLinks() {
  const auto view = m_shared.view_store.Load();
  if (view->vms == nullptr || view->vms == m_links_checked_for) {
    return;
  }
  bool all_closed = true;
  std::erase_if(m_links, [&](const auto& item) {
    const bool listed =
        std::ranges::any_of(view->vms->vms, [&](const VmRecord& vm) {
          return vm.inner_port == item.first.port() &&
                 vm.ip == item.first.address().to_string();
        });
    if (listed) {
      return false;
    }
    if (item.second->open_offers() > 0) {
      all_closed = false;
      return false;
    }
    item.second->Close();
    return true;
  });
  if (all_closed) {
    m_links_checked_for = view->vms;
  }
}

void EntryWorker::AcceptBacklog() {
  // Closing the listener would reset connections that the kernel has already
  // accepted.
  boost::system::error_code error;
  m_acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(m_io);
    m_acceptor.accept(socket, error);
    if (!error) {
      AddCaller(std::move(socket));
    }
  }
}

void EntryWorker::StopAccepting() {
  boost::system::error_code ignored;
  if (m_acceptor.is_open()) {
    AcceptBacklog();
    m_acceptor.close(ignored);
  }
  const auto callers = m_callers;
  std::ranges::for_each(callers, [](const auto& item) { item.second->Stop(); });
}

std::vector<std::string> EntryWorker::CallIds() const {
  std::vector<std::string> ids;
  std::ranges::transform(m_calls, std::back_inserter(ids),
                         [](const auto& item) { return item.second->id(); });
  return ids;
}

JsonValue EntryWorker::ToJson() const {
  const TimePoint now = Clock::now();
  JsonValue::Array calls;
  std::ranges::transform(
      m_calls, std::back_inserter(calls),
      [&](const auto& item) { return item.second->ToJson(now); });
  JsonValue::Array links;
  std::ranges::transform(
      m_links, std::back_inserter(links), [&](const auto& item) {
        return JsonValue::Object{
            {"peer", item.first.address().to_string() + ":" +
                         std::to_string(item.first.port())},
            {"connected", item.second->connected()},
            {"open_offers", std::uint64_t{item.second->open_offers()}},
            {"round_trip_us",
             std::int64_t{std::chrono::duration_cast<std::chrono::microseconds>(
                              item.second->round_trip())
                              .count()}}};
      });
  std::size_t pending = 0;
  std::size_t deepest = 0;
  std::ranges::for_each(m_callers, [&](const auto& item) {
    pending += item.first->pipeline().size();
    deepest = std::max(deepest, item.first->pipeline().deepest());
  });
  return JsonValue::Object{{"callers", std::uint64_t{m_callers.size()}},
                           {"pending_requests", std::uint64_t{pending}},
                           {"deepest_pipeline", std::uint64_t{deepest}},
                           {"calls", std::move(calls)},
                           {"links", std::move(links)}};
}

}  // namespace yuccamast
