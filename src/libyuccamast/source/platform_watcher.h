#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "metrics/metrics.h"
#include "node/settings.h"
#include "source/published.h"
#include "yuccamast/clock.h"

/// \file platform_watcher.h
/// Sources of the configuration and the VM list, and the default source, which
/// reads them from two HTTP services of the platform.
///
/// `SourceHooks` connect a source with its node, `PlatformSource` is the handle
/// of an open source, and `SourceFactory` opens one, so that an adapter can
/// replace the default source by the store of another platform.
///
/// `PlatformWatcher` has one thread for each service. One reads the
/// configuration by long polling: `GET /v1/config?after=N&wait_ms=M` returns a
/// revision newer than N, or an empty body after M milliseconds. The other
/// polls `GET /v1/vms`. Both retry after a failure, with jitter, and pause
/// while the hooks tell them not to read. See published.h for the documents.

namespace yuccamast {

/// Callbacks of a source, supplied by the node. They may be called on any
/// thread.
struct SourceHooks {
  /// Whether the source should read the configuration now.
  std::function<bool()> reads_config;
  /// Whether the source should read the VM list now.
  std::function<bool()> reads_vm_list;
  /// Number of nodes whose reads other nodes depend on, if this node is one of
  /// them; else 0. A node that reads for itself alone may do so less often.
  std::function<std::size_t()> reader_count;
  /// The highest revision of the configuration that the node has accepted or
  /// refused; it needs only newer ones.
  std::function<std::uint64_t()> known_revision;
  /// A configuration was read.
  std::function<void(PublishedConfig)> on_config;
  /// A VM list was read.
  std::function<void(VmList)> on_vm_list;
  /// The source became unreachable or reachable. Not called by
  /// `PlatformWatcher`.
  std::function<void(bool reachable)> on_reachable;
};

/// Handle of an open source: the default HTTP services, or the store of a
/// platform that an adapter reads. Not thread-safe: all members are used on the
/// control thread.
struct PlatformSource {
  std::function<void()> close;  ///< After it returns, no hook is called.
  /// Whether the last read of the configuration, or of the VM list, succeeded.
  std::function<bool()> config_reachable;
  std::function<bool()> vm_list_reachable;
  /// When the last read that returned the latest state ended; the epoch of the
  /// clock before the first. A long poll that is pending counts as a read when
  /// it ends. After a time without reads, the first long poll isn't held.
  std::function<TimePoint()> last_read_at;
  /// Whether a read always returns the latest state, so that a node that has
  /// just started may trust it without asking peers first.
  bool is_strongly_consistent = false;
};

/// Opens a source and starts reading. `io` is run by the control thread.
using SourceFactory = std::function<PlatformSource(boost::asio::io_context& io,
                                                   const NodeSettings& settings,
                                                   Metrics& metrics,
                                                   SourceHooks hooks)>;

/// Opens the default source: the HTTP services at `settings.config_service` and
/// `settings.vm_list`. `io` is not used. `metrics` must outlive the source.
PlatformSource OpenHttpSource(boost::asio::io_context& io,
                              const NodeSettings& settings,
                              Metrics& metrics,
                              SourceHooks hooks);

/// Reads the configuration service and the VM list on two detached threads.
///
/// Destruction does not wait for a request in progress: each thread ends after
/// the blocking call that it is in. Once the destructor has returned, the
/// threads call no hook and do not use the metrics. The destructor waits for a
/// hook that is running, so it must not be called from one.
class PlatformWatcher {
 public:
  PlatformWatcher(const NodeSettings& settings,
                  Metrics& metrics,
                  SourceHooks hooks);
  ~PlatformWatcher();
  PlatformWatcher(const PlatformWatcher&) = delete;
  PlatformWatcher& operator=(const PlatformWatcher&) = delete;

  /// Whether the last request to the configuration service succeeded.
  /// Thread-safe.
  bool config_reachable() const;
  /// Whether the last request for the VM list succeeded. Thread-safe.
  bool vm_list_reachable() const;
  /// When the last successful request to each service had ended: the earlier of
  /// both times. Thread-safe.
  TimePoint last_read_at() const;

 private:
  friend struct WatcherLoops;
  struct Shared;
  std::shared_ptr<Shared> m_shared;
};

}  // namespace yuccamast
