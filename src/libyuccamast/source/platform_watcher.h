#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "metrics/metrics.h"
#include "node/settings.h"
#include "source/published.h"

/// \file platform_watcher.h
/// Watches the configuration service and reads the VM list, on own threads.

namespace yuccamast {

/// Hooks of a source of facts; called on any thread.
struct SourceHooks {
  /// Whether this node is to read the service, or the list, now.
  std::function<bool()> reads_config;
  std::function<bool()> reads_vms;
  /// Whether this node is among those that others rely on to read; one that
  /// reads besides may take its time.
  std::function<bool()> is_reader;
  /// The revision to wait beyond.
  std::function<std::uint64_t()> revision;
  std::function<void(PublishedConfig)> on_config;
  std::function<void(VmList)> on_vms;
  /// The source was lost, or answers again.
  std::function<void(bool reachable)> on_reachable;
};

/// Where the facts come from: the project's own service by default, or the
/// store of a platform that an adapter reads.
struct PlatformSource {
  std::function<void()> close;  ///< No hook is called after it.
  std::function<bool()> config_reachable;
  std::function<bool()> vm_list_reachable;
  /// Whether its answers are never older than its last change, so that a node
  /// that knows nothing may believe it without asking peers.
  bool is_strongly_consistent = false;
};

/// Opens a source. `io` is the control thread's.
using SourceFactory = std::function<PlatformSource(boost::asio::io_context& io,
                                                   const NodeSettings& settings,
                                                   Metrics& metrics,
                                                   SourceHooks hooks)>;

/// The project's own configuration service and VM list.
PlatformSource OpenHttpSource(boost::asio::io_context& io,
                              const NodeSettings& settings,
                              Metrics& metrics,
                              SourceHooks hooks);

/// Starts two threads. They end by themselves some time after destruction, at
/// the end of the blocking call that they are in; they touch no hook then.
class PlatformWatcher {
 public:
  PlatformWatcher(const NodeSettings& settings,
                  Metrics& metrics,
                  SourceHooks hooks);
  ~PlatformWatcher();
  PlatformWatcher(const PlatformWatcher&) = delete;
  PlatformWatcher& operator=(const PlatformWatcher&) = delete;

  /// Whether the last call on each service succeeded.
  bool config_reachable() const;
  bool vm_list_reachable() const;

 private:
  friend struct WatcherLoops;
  struct Shared;
  std::shared_ptr<Shared> m_shared;
};

}  // namespace yuccamast
