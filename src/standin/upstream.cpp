#include "standin/upstream.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <sstream>

#include "standin/options.h"

namespace yuccamast::standin {

namespace {

/// Window in which arrivals are counted.
constexpr std::chrono::seconds kArrivalWindow(4);

/// Fault or unusual reply that a request asks for by `fail=NAME`. The comments
/// give the names.
enum class FailureMode : std::uint8_t {
  kNone,            ///< No or an unknown name.
  kCloseAfterRead,  ///< `close`: counts the run, closes without a reply.
  kResetAfterRead,  ///< `reset`: the same by a reset (RST).
  kHang,            ///< `hang`: counts the run, never replies.
  kNoLength,        ///< `no_length`: body delimited by the close.
  kBadLength,       ///< `bad_length`: Content-Length exceeds the body.
  kCutChunk,        ///< `cut_chunk`: chunked, the last chunk is missing.
  kChunked,         ///< `chunked`: complete, but chunked.
  kError,           ///< `error`: 500 at once; counts the run.
  /// `shed`: 503 with `Yuccamast-Upstream-Shed`, which states that the request
  /// was not run.
  kShed,
};

/// In the order of `FailureMode`.
constexpr std::array<std::string_view, 10> kFailureModeNames = {
    "",           "close",     "reset",   "hang",  "no_length",
    "bad_length", "cut_chunk", "chunked", "error", "shed"};

FailureMode FailureModeOf(const Request& request) {
  const auto found =
      std::ranges::find(kFailureModeNames, QueryParameter(request, "fail", ""));
  return found == kFailureModeNames.end()
             ? FailureMode::kNone
             : static_cast<FailureMode>(found - kFailureModeNames.begin());
}

/// Returns the `X-Load-Id` field, or an empty string.
std::string LoadIdOf(const Request& request) {
  const auto found = request.fields.find("x-load-id");
  return found == request.fields.end() ? "" : found->second;
}

/// Returns the field `name` (in lower case) of the request, or an empty string.
std::string FieldValue(const Request& request, const std::string& name) {
  const auto found = request.fields.find(name);
  return found == request.fields.end() ? "" : found->second;
}

/// Makes the body of a reply: the fields of the request that upstream.h lists,
/// padding with `x` up to the requested size, and `END`.
std::string MakeReplyBody(const Request& request) {
  std::ostringstream text;
  text << "id=" << LoadIdOf(request) << " path=" << request.path
       << " got=" << request.body.size()
       << " call=" << FieldValue(request, "yuccamast-call-id")
       << " left=" << FieldValue(request, "yuccamast-deadline-ms")
       << " depth=" << FieldValue(request, "yuccamast-depth") << " ";
  std::string body = text.str();
  const auto size = static_cast<std::size_t>(QueryNumber(request, "size", 0));
  if (body.size() < size) {
    body.append(size - body.size(), 'x');
  }
  return body + "END";
}

/// Makes a reply with one chunk of data, followed by the last chunk (that of
/// size 0) if `with_last_chunk`.
std::string MakeChunkedReply(const std::string& body, bool with_last_chunk) {
  std::ostringstream text;
  text << "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       << std::hex << body.size() << "\r\n"
       << body << "\r\n";
  if (with_last_chunk) {
    text << "0\r\n\r\n";
  }
  return text.str();
}

}  // namespace

UpstreamStandIn::UpstreamStandIn(asio::io_context& io, UpstreamOptions options)
    : m_io(io),
      m_options(std::move(options)),
      m_started_at(std::chrono::steady_clock::now()),
      m_random(m_options.seed),
      m_server(io,
               m_options.ip,
               m_options.port,
               [this](const Request& request,
                      ReplyCallback respond,
                      std::function<void()>* on_disconnect) {
                 Handle(request, std::move(respond), on_disconnect);
               }) {}

void UpstreamStandIn::Handle(const Request& request,
                             ReplyCallback respond,
                             std::function<void()>* on_disconnect) {
  if (request.path.starts_with("/_standin/")) {
    HandleControl(request, respond);
    return;
  }
  if (request.path == "/health") {
    respond(MakeReply(200, "ok", StateFields() + ColdField()));
    return;
  }
  CountArrival();
  const FailureMode failure_mode = FailureModeOf(request);
  const bool random_failure =
      static_cast<long>(m_random() % 100) < m_fail_percent;
  if (failure_mode == FailureMode::kShed || m_shedding) {
    respond(MakeReply(503, "shed", "Yuccamast-Upstream-Shed: 1\r\n"));
    return;
  }
  ++m_requests;
  ++m_ledger[LoadIdOf(request)];
  if (failure_mode == FailureMode::kError || random_failure) {
    respond(MakeReply(500, "failed"));
    return;
  }
  auto job = std::make_shared<Job>();
  job->request = request;
  job->respond = std::move(respond);
  job->cancelled = std::make_shared<bool>(false);
  *on_disconnect = [this, cancelled = job->cancelled] {
    *cancelled = true;
    ++m_cancelled;
  };
  m_queue.push_back(job);
  StartQueuedJobs();
}

std::string UpstreamStandIn::StateFields() const {
  std::string fields = m_draining ? "Yuccamast-Upstream-Leaving: 1\r\n" : "";
  if (m_rate_limit > 0) {
    fields += "Yuccamast-Upstream-Rate-Limit: " + std::to_string(m_rate_limit) +
              "\r\n";
  }
  return fields;
}

std::string UpstreamStandIn::ColdField() const {
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      m_cold_until - std::chrono::steady_clock::now());
  return left.count() <= 0
             ? ""
             : "Yuccamast-Upstream-Cold-Ms: " + std::to_string(left.count()) +
                   "\r\n";
}

void UpstreamStandIn::CountArrival() {
  const auto now = std::chrono::steady_clock::now();
  if (IsCold(now)) {
    m_cold_arrivals.push_back(now);
    while (now - m_cold_arrivals.front() >= std::chrono::seconds(1)) {
      m_cold_arrivals.pop_front();
    }
    m_busiest_cold_second =
        std::max(m_busiest_cold_second, m_cold_arrivals.size());
  }
  m_arrivals.push_back(now);
  while (now - m_arrivals.front() > kArrivalWindow) {
    m_arrivals.pop_front();
  }
  m_busiest_window = std::max(m_busiest_window, m_arrivals.size());
}

void UpstreamStandIn::StartQueuedJobs() {
  while (m_running < m_options.slots && !m_queue.empty()) {
    const auto job = m_queue.front();
    m_queue.pop_front();
    if (!*job->cancelled) {
      Run(job);
    }
  }
}

std::chrono::microseconds UpstreamStandIn::ServiceTime(const Request& request) {
  double ms = m_options.service_ms;
  if (request.query.contains("sleep_ms")) {
    ms = static_cast<double>(QueryNumber(request, "sleep_ms", 0));
  } else {
    // A shifted exponential distribution, because real service times vary, too:
    // half of the mean is fixed and half is exponentially distributed.
    std::exponential_distribution<double> exponential(1.0);
    ms = m_options.service_ms * (0.5 + 0.5 * exponential(m_random));
  }
  const auto age = std::chrono::steady_clock::now() - m_started_at;
  const bool cold = age < std::chrono::milliseconds(m_options.cold_ms);
  ms *= m_slow_factor * (cold ? m_options.cold_factor : 1.0);
  return std::chrono::microseconds(static_cast<long>(ms * 1000));
}

void UpstreamStandIn::Run(const std::shared_ptr<Job>& job) {
  ++m_running;
  m_peak_running = std::max(m_peak_running, m_running);
  auto timer = std::make_shared<asio::steady_timer>(m_io);
  timer->expires_after(ServiceTime(job->request));
  timer->async_wait(
      [this, job, timer](const boost::system::error_code&) { Finish(job); });
}

void UpstreamStandIn::Finish(const std::shared_ptr<Job>& job) {
  --m_running;
  if (!*job->cancelled) {
    job->respond(BuildReply(job->request));
  }
  StartQueuedJobs();
}

RawReply UpstreamStandIn::BuildReply(const Request& request) {
  const std::string body = MakeReplyBody(request);
  RawReply reply = MakeReply(200, body, StateFields());
  if (request.query.contains("pace")) {
    const std::size_t head = reply.bytes.find("\r\n\r\n") + 4;
    const bool half = QueryParameter(request, "pace", "") == "half";
    reply.first_bytes = half ? head + body.size() / 2 : head;
    reply.pause =
        std::chrono::milliseconds(QueryNumber(request, "pause_ms", 300));
    ++m_paced;
  }
  switch (FailureModeOf(request)) {
    case FailureMode::kCloseAfterRead:
      return {"", ConnectionAction::kClose};
    case FailureMode::kResetAfterRead:
      return {"", ConnectionAction::kReset};
    case FailureMode::kHang:
      return {"", ConnectionAction::kHang};
    case FailureMode::kNoLength:
      return {"HTTP/1.1 200 OK\r\n\r\n" + body, ConnectionAction::kClose};
    case FailureMode::kBadLength:
      return {"HTTP/1.1 200 OK\r\nContent-Length: " +
                  std::to_string(body.size() + 10) + "\r\n\r\n" + body,
              ConnectionAction::kClose};
    case FailureMode::kCutChunk:
      return {MakeChunkedReply(body, false), ConnectionAction::kClose};
    case FailureMode::kChunked:
      return {MakeChunkedReply(body, true), ConnectionAction::kKeep};
    default:
      break;
  }
  if (request.query.contains("cut")) {
    reply.bytes.resize(std::min<std::size_t>(
        reply.bytes.size(),
        static_cast<std::size_t>(QueryNumber(request, "cut", 0))));
    reply.action = ConnectionAction::kClose;
  }
  return reply;
}

std::string UpstreamStandIn::FormatLedger() const {
  std::ostringstream text;
  std::ranges::for_each(m_ledger, [&](const auto& item) {
    text << item.first << " " << item.second << "\n";
  });
  return text.str();
}

std::string UpstreamStandIn::FormatState() const {
  std::ostringstream text;
  text << "requests " << m_requests << "\nrunning " << m_running << "\nwaiting "
       << m_queue.size() << "\npaced " << m_paced << "\npeak " << m_peak_running
       << "\ncancelled " << m_cancelled << "\nconnections "
       << m_server.connections() << "\naccepted " << m_server.accepted()
       << "\nbusiest " << m_busiest_window << "\nbusiest_cold "
       << m_busiest_cold_second << "\n";
  return text.str();
}

void UpstreamStandIn::HandleControl(const Request& request,
                                    const ReplyCallback& respond) {
  if (request.path == "/_standin/ledger") {
    respond(MakeReply(200, FormatLedger()));
    return;
  }
  if (request.path == "/_standin/set") {
    m_slow_factor =
        static_cast<double>(QueryNumber(
            request, "slow_percent", static_cast<long>(m_slow_factor * 100))) /
        100.0;
    m_draining = QueryNumber(request, "draining", m_draining ? 1 : 0) != 0;
    m_shedding = QueryNumber(request, "shedding", m_shedding ? 1 : 0) != 0;
    m_fail_percent = QueryNumber(request, "fail_share", m_fail_percent);
    m_rate_limit = QueryNumber(request, "rate_limit", m_rate_limit);
    if (request.query.contains("cold_ms")) {
      m_cold_until =
          std::chrono::steady_clock::now() +
          std::chrono::milliseconds(QueryNumber(request, "cold_ms", 0));
    }
    m_arrivals.clear();
    m_busiest_window = 0;
    m_cold_arrivals.clear();
    m_busiest_cold_second = 0;
  }
  respond(MakeReply(200, FormatState()));
}

int RunUpstream(int argc, char** argv) {
  cxxopts::Options options(
      "yuccamast-standin upstream",
      "A test double of an upstream that injects faults on request.");
  options.add_options()(
      "ip", "IP address to listen on",
      cxxopts::value<std::string>()->default_value("127.0.0.1"))(
      "port", "Port to listen on", cxxopts::value<std::uint16_t>())(
      "slots", "Requests that run at the same time",
      cxxopts::value<unsigned>()->default_value("10"))(
      "service-ms", "Mean service time in milliseconds",
      cxxopts::value<double>()->default_value("5"))(
      "cold-ms", "Milliseconds after the start during which it is slow",
      cxxopts::value<unsigned>()->default_value("0"))(
      "seed", "Seed of service times and random failures",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  return RunWithOptions(options, argc, argv, [](const auto& parsed) {
    UpstreamOptions upstream;
    upstream.ip = parsed["ip"].template as<std::string>();
    upstream.port = parsed["port"].template as<std::uint16_t>();
    upstream.slots = parsed["slots"].template as<unsigned>();
    upstream.service_ms = parsed["service-ms"].template as<double>();
    upstream.cold_ms = parsed["cold-ms"].template as<unsigned>();
    upstream.seed = parsed["seed"].template as<std::uint64_t>();
    asio::io_context io(1);
    UpstreamStandIn standin(io, upstream);
    io.run();
    return 0;
  });
}

}  // namespace yuccamast::standin
