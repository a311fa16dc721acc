#include "standin/upstream.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <sstream>

#include "standin/options.h"

namespace yuccamast::standin {

namespace {

/// How a request asks the stand-in to fail. Names as in `fail=NAME`.
enum class Fail : std::uint8_t {
  kNone,
  kCloseAfterRead,  ///< Counts the run, closes without a reply.
  kResetAfterRead,  ///< The same by a reset.
  kHang,            ///< Counts the run, never replies.
  kNoLength,        ///< Body ended by the close.
  kBadLength,       ///< Content-Length longer than the body.
  kCutChunk,        ///< Chunked, the last chunk is missing.
  kChunked,         ///< Whole, but chunked.
  kError,           ///< 500 at once.
  kShed,            ///< 503 with the proof that it was not run.
};

constexpr std::array<std::string_view, 10> kFailNames = {
    "",           "close",     "reset",   "hang",  "no_length",
    "bad_length", "cut_chunk", "chunked", "error", "shed"};

Fail FailOf(const Request& request) {
  const auto found = std::ranges::find(kFailNames, Param(request, "fail", ""));
  return found == kFailNames.end()
             ? Fail::kNone
             : static_cast<Fail>(found - kFailNames.begin());
}

std::string IdOf(const Request& request) {
  const auto found = request.fields.find("x-load-id");
  return found == request.fields.end() ? "" : found->second;
}

std::string FieldOf(const Request& request, const std::string& name) {
  const auto found = request.fields.find(name);
  return found == request.fields.end() ? "" : found->second;
}

/// The answer proves whose it is and that it is whole: the id and the length
/// of the request's body, padded to the wanted size, with an end mark.
std::string AnswerBody(const Request& request) {
  std::ostringstream text;
  text << "id=" << IdOf(request) << " path=" << request.path
       << " got=" << request.body.size()
       << " call=" << FieldOf(request, "yuccamast-call-id")
       << " left=" << FieldOf(request, "yuccamast-deadline-ms")
       << " depth=" << FieldOf(request, "yuccamast-depth") << " ";
  std::string body = text.str();
  const auto size = static_cast<std::size_t>(Number(request, "size", 0));
  if (body.size() < size) {
    body.append(size - body.size(), 'x');
  }
  return body + "END";
}

std::string Chunked(const std::string& body, bool whole) {
  std::ostringstream text;
  text << "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       << std::hex << body.size() << "\r\n"
       << body << "\r\n";
  if (whole) {
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
                      Respond respond,
                      std::function<void()>* gone) {
                 Handle(request, std::move(respond), gone);
               }) {}

void UpstreamStandIn::Handle(const Request& request,
                             Respond respond,
                             std::function<void()>* gone) {
  if (request.path.starts_with("/_standin/")) {
    Control(request, respond);
    return;
  }
  if (request.path == "/health") {
    respond(Reply(200, "ok", LeavingHead()));
    return;
  }
  const Fail fail = FailOf(request);
  const bool unlucky = static_cast<long>(m_random() % 100) < m_fail_share;
  if (fail == Fail::kShed || m_shedding) {
    respond(Reply(503, "shed", "Yuccamast-Upstream-Shed: 1\r\n"));
    return;
  }
  ++m_requests;
  ++m_ledger[IdOf(request)];
  if (fail == Fail::kError || unlucky) {
    respond(Reply(500, "failed"));
    return;
  }
  auto job = std::make_shared<Job>();
  job->request = request;
  job->respond = std::move(respond);
  job->cancelled = std::make_shared<bool>(false);
  *gone = [this, cancelled = job->cancelled] {
    *cancelled = true;
    ++m_cancelled;
  };
  m_waiting.push_back(job);
  StartJobs();
}

std::string UpstreamStandIn::LeavingHead() const {
  return m_draining ? "Yuccamast-Upstream-Leaving: 1\r\n" : "";
}

void UpstreamStandIn::StartJobs() {
  while (m_running < m_options.slots && !m_waiting.empty()) {
    const auto job = m_waiting.front();
    m_waiting.pop_front();
    if (!*job->cancelled) {
      Run(job);
    }
  }
}

std::chrono::microseconds UpstreamStandIn::ServiceTime(const Request& request) {
  double ms = m_options.service_ms;
  if (request.query.contains("sleep_ms")) {
    ms = static_cast<double>(Number(request, "sleep_ms", 0));
  } else {
    // Spread around the mean, as real service times are.
    std::exponential_distribution<double> tail(1.0);
    ms = m_options.service_ms * (0.5 + 0.5 * tail(m_random));
  }
  const auto age = std::chrono::steady_clock::now() - m_started_at;
  const bool cold = age < std::chrono::milliseconds(m_options.cold_ms);
  ms *= m_slow * (cold ? m_options.cold_factor : 1.0);
  return std::chrono::microseconds(static_cast<long>(ms * 1000));
}

void UpstreamStandIn::Run(const std::shared_ptr<Job>& job) {
  ++m_running;
  m_peak = std::max(m_peak, m_running);
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
  StartJobs();
}

RawReply UpstreamStandIn::BuildReply(const Request& request) {
  const std::string body = AnswerBody(request);
  RawReply reply = Reply(200, body, LeavingHead());
  if (request.query.contains("pace")) {
    const std::size_t head = reply.bytes.find("\r\n\r\n") + 4;
    const bool half = Param(request, "pace", "") == "half";
    reply.first_bytes = half ? head + body.size() / 2 : head;
    reply.pause = std::chrono::milliseconds(Number(request, "pause_ms", 300));
    ++m_paced;
  }
  switch (FailOf(request)) {
    case Fail::kCloseAfterRead:
      return {"", After::kClose};
    case Fail::kResetAfterRead:
      return {"", After::kReset};
    case Fail::kHang:
      return {"", After::kHang};
    case Fail::kNoLength:
      return {"HTTP/1.1 200 OK\r\n\r\n" + body, After::kClose};
    case Fail::kBadLength:
      return {"HTTP/1.1 200 OK\r\nContent-Length: " +
                  std::to_string(body.size() + 10) + "\r\n\r\n" + body,
              After::kClose};
    case Fail::kCutChunk:
      return {Chunked(body, false), After::kClose};
    case Fail::kChunked:
      return {Chunked(body, true), After::kKeep};
    default:
      break;
  }
  if (request.query.contains("cut")) {
    reply.bytes.resize(std::min<std::size_t>(
        reply.bytes.size(),
        static_cast<std::size_t>(Number(request, "cut", 0))));
    reply.after = After::kClose;
  }
  return reply;
}

std::string UpstreamStandIn::LedgerText() const {
  std::ostringstream text;
  std::ranges::for_each(m_ledger, [&](const auto& item) {
    text << item.first << " " << item.second << "\n";
  });
  return text.str();
}

std::string UpstreamStandIn::StateText() const {
  std::ostringstream text;
  text << "requests " << m_requests << "\nrunning " << m_running << "\nwaiting "
       << m_waiting.size() << "\npaced " << m_paced << "\npeak " << m_peak
       << "\ncancelled " << m_cancelled << "\nconnections "
       << m_server.connections() << "\naccepted " << m_server.accepted()
       << "\n";
  return text.str();
}

void UpstreamStandIn::Control(const Request& request, const Respond& respond) {
  if (request.path == "/_standin/ledger") {
    respond(Reply(200, LedgerText()));
    return;
  }
  if (request.path == "/_standin/set") {
    m_slow = static_cast<double>(Number(request, "slow_percent",
                                        static_cast<long>(m_slow * 100))) /
             100.0;
    m_draining = Number(request, "draining", m_draining ? 1 : 0) != 0;
    m_shedding = Number(request, "shedding", m_shedding ? 1 : 0) != 0;
    m_fail_share = Number(request, "fail_share", m_fail_share);
  }
  respond(Reply(200, StateText()));
}

int RunUpstream(int argc, char** argv) {
  cxxopts::Options options("yuccamast-standin upstream",
                           "A stand-in for an upstream.");
  options.add_options()(
      "ip", "IP", cxxopts::value<std::string>()->default_value("127.0.0.1"))(
      "port", "Port", cxxopts::value<std::uint16_t>())(
      "slots", "Slots", cxxopts::value<unsigned>()->default_value("10"))(
      "service-ms", "Mean service time",
      cxxopts::value<double>()->default_value("5"))(
      "cold-ms", "Time after the start during which it is slow",
      cxxopts::value<unsigned>()->default_value("0"))(
      "seed", "Seed", cxxopts::value<std::uint64_t>()->default_value("1"));
  return WithOptions(options, argc, argv, [](const auto& parsed) {
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
