#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "metrics/metrics.h"
#include "node/settings.h"
#include "platform/published.h"

/// \file watcher.h
/// Watches the configuration service and reads the VM list, on own threads.

namespace yuccamast {

/// Hooks of a watcher; called on its threads.
struct WatcherHooks {
  /// Whether this node is to read the service, or the list, now.
  std::function<bool()> reads_config;
  std::function<bool()> reads_vms;
  /// The revision to wait beyond.
  std::function<std::uint64_t()> revision;
  std::function<void(PublishedConfig)> on_config;
  std::function<void(VmList)> on_vms;
};

/// Starts two threads. They end by themselves some time after destruction, at
/// the end of the blocking call that they are in; they touch no hook then.
class PlatformWatcher {
 public:
  PlatformWatcher(const NodeSettings& settings,
                  Metrics& metrics,
                  WatcherHooks hooks);
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
