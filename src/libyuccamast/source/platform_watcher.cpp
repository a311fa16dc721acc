#include "source/platform_watcher.h"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

#include "log/log.h"
#include "source/http_fetcher.h"

namespace yuccamast {

namespace {

using Millis = std::chrono::milliseconds;

/// Time that the configuration service holds a request if it has nothing newer.
constexpr Millis kLongPollTime{10'000};
/// The same for the first request after a time without any, whose reply shows
/// that the node is up to date.
constexpr Millis kNoHoldTime{1};
/// Timeout passed to `HttpFetcher::Get`; for the configuration, in addition to
/// kLongPollTime.
constexpr Millis kReadTimeout{2'000};
/// Longest pause between two reads of the VM list.
constexpr Millis kVmListPeriod{2'000};
/// Longest pause after a failed read.
constexpr Millis kRetryPause{1'000};
/// Interval at which a thread that may not read asks the hooks again.
constexpr Millis kIdlePause{100};

}  // namespace

/// State that the threads share with the watcher; they keep it alive after the
/// watcher is destroyed.
struct PlatformWatcher::Shared {
  Shared(const NodeSettings& settings, Metrics& m, SourceHooks h)
      : config_address(settings.config_service),
        vm_list_address(settings.vm_list),
        metrics(m),
        hooks(std::move(h)) {}

  const PlatformAddress config_address;
  const PlatformAddress vm_list_address;
  std::mutex mutex;  ///< Guards `stopped`; held while a hook runs.
  bool stopped = false;
  Metrics& metrics;
  SourceHooks hooks;
  std::atomic<bool> config_is_reachable{false};
  std::atomic<bool> vm_list_is_reachable{false};
  std::atomic<TimePoint> config_read_at{TimePoint{}};
  std::atomic<TimePoint> vm_list_read_at{TimePoint{}};

  /// Runs `work` with the mutex held, unless stopped. False if stopped.
  template <typename Work>
  bool RunUnlessStopped(Work work) {
    const std::lock_guard lock(mutex);
    if (stopped) {
      return false;
    }
    work();
    return true;
  }
};

namespace {

/// Sleeps for a random time between half of `duration` and `duration`. The
/// jitter keeps nodes from reading a service that has recovered all at once.
void SleepWithJitter(Millis duration, std::mt19937& random) {
  std::uniform_int_distribution<long> distribution(duration.count() / 2,
                                                   duration.count());
  std::this_thread::sleep_for(Millis(distribution(random)));
}

/// Updates `flag` and logs a change.
void SetReachable(std::atomic<bool>& flag, bool ok, std::string_view service) {
  if (flag.exchange(ok) != ok) {
    Log(ok ? LogLevel::kInfo : LogLevel::kWarning,
        ok ? LogEvent::kPlatformReachable : LogEvent::kPlatformUnreachable,
        {{"service", service}});
  }
}

}  // namespace

/// The loops of the two threads.
struct WatcherLoops {
  using Shared = PlatformWatcher::Shared;

  /// Loop of the thread that reads the configuration.
  static void ConfigLoop(const std::shared_ptr<Shared>& shared) {
    HttpFetcher fetcher(shared->config_address.ip, shared->config_address.port);
    std::mt19937 random{std::random_device{}()};
    bool was_idle = false;
    while (true) {
      bool may_read = false;
      std::uint64_t revision = 0;
      const bool running = shared->RunUnlessStopped([&] {
        may_read = shared->hooks.reads_config();
        revision = shared->hooks.known_revision();
        if (may_read) {
          shared->metrics.Add(Counter::kConfigReads);
        }
      });
      if (!running) {
        return;
      }
      if (!may_read) {
        was_idle = true;
        std::this_thread::sleep_for(kIdlePause);
        continue;
      }
      const Millis hold_time =
          std::exchange(was_idle, false) ? kNoHoldTime : kLongPollTime;
      const std::string path = "/v1/config?after=" + std::to_string(revision) +
                               "&wait_ms=" + std::to_string(hold_time.count());
      if (!ReadConfig(*shared, fetcher, path)) {
        SleepWithJitter(kRetryPause, random);
      }
    }
  }

  /// Makes one request. False if it failed or the document is refused.
  static bool ReadConfig(Shared& shared,
                         HttpFetcher& fetcher,
                         const std::string& path) {
    const auto text = fetcher.Get(path, kLongPollTime + kReadTimeout);
    SetReachable(shared.config_is_reachable, static_cast<bool>(text), "config");
    if (!text) {
      return false;
    }
    if (text.value().empty()) {
      shared.config_read_at = Clock::now();
      return true;  // Nothing newer within the wait.
    }
    auto config = ParsePublishedConfig(text.value());
    if (!config) {
      Log(LogLevel::kWarning, LogEvent::kConfigRefused,
          {{"detail", config.error().detail}});
      return false;
    }
    shared.RunUnlessStopped(
        [&] { shared.hooks.on_config(std::move(config.value())); });
    shared.config_read_at = Clock::now();
    return true;
  }

  /// Loop of the thread that reads the VM list.
  static void VmListLoop(const std::shared_ptr<Shared>& shared) {
    HttpFetcher fetcher(shared->vm_list_address.ip,
                        shared->vm_list_address.port);
    std::mt19937 random{std::random_device{}()};
    while (true) {
      bool may_read = false;
      const bool running = shared->RunUnlessStopped([&] {
        may_read = shared->hooks.reads_vm_list();
        if (may_read) {
          shared->metrics.Add(Counter::kVmListReads);
        }
      });
      if (!running) {
        return;
      }
      if (!may_read) {
        std::this_thread::sleep_for(kIdlePause);
        continue;
      }
      const bool ok = ReadVmList(*shared, fetcher);
      SleepWithJitter(ok ? kVmListPeriod : kRetryPause, random);
    }
  }

  /// Makes one request. False if it failed or the document is refused.
  static bool ReadVmList(Shared& shared, HttpFetcher& fetcher) {
    const auto text = fetcher.Get("/v1/vms", kReadTimeout);
    SetReachable(shared.vm_list_is_reachable, static_cast<bool>(text),
                 "vm_list");
    if (!text) {
      return false;
    }
    auto list = ParseVmList(text.value());
    if (!list) {
      Log(LogLevel::kWarning, LogEvent::kVmListRefused,
          {{"detail", list.error().detail}});
      return false;
    }
    shared.RunUnlessStopped(
        [&] { shared.hooks.on_vm_list(std::move(list.value())); });
    shared.vm_list_read_at = Clock::now();
    return true;
  }
};

PlatformWatcher::PlatformWatcher(const NodeSettings& settings,
                                 Metrics& metrics,
                                 SourceHooks hooks)
    : m_shared(std::make_shared<Shared>(settings, metrics, std::move(hooks))) {
  std::thread([shared = m_shared] {
    WatcherLoops::ConfigLoop(shared);
  }).detach();
  std::thread([shared = m_shared] {
    WatcherLoops::VmListLoop(shared);
  }).detach();
}

PlatformWatcher::~PlatformWatcher() {
  const std::lock_guard lock(m_shared->mutex);
  m_shared->stopped = true;
}

PlatformSource OpenHttpSource(boost::asio::io_context& /*io*/,
                              const NodeSettings& settings,
                              Metrics& metrics,
                              SourceHooks hooks) {
  const auto watcher = std::make_shared<std::unique_ptr<PlatformWatcher>>(
      std::make_unique<PlatformWatcher>(settings, metrics, std::move(hooks)));
  PlatformSource source;
  source.close = [watcher] { watcher->reset(); };
  source.config_reachable = [watcher] {
    return *watcher != nullptr && (*watcher)->config_reachable();
  };
  source.vm_list_reachable = [watcher] {
    return *watcher != nullptr && (*watcher)->vm_list_reachable();
  };
  source.last_read_at = [watcher] {
    return *watcher == nullptr ? TimePoint{} : (*watcher)->last_read_at();
  };
  return source;
}

bool PlatformWatcher::config_reachable() const {
  return m_shared->config_is_reachable;
}

bool PlatformWatcher::vm_list_reachable() const {
  return m_shared->vm_list_is_reachable;
}

TimePoint PlatformWatcher::last_read_at() const {
  return std::min(m_shared->config_read_at.load(),
                  m_shared->vm_list_read_at.load());
}

}  // namespace yuccamast
