#include "standin/platform.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

#include "source/published.h"
#include "standin/options.h"

namespace yuccamast::standin {

namespace {

std::string ReadFile(const std::string& name) {
  std::ifstream in(name, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace

PlatformStandIn::PlatformStandIn(asio::io_context& io,
                                 const PlatformOptions& options)
    : m_io(io),
      m_server(io,
               options.ip,
               options.port,
               [this](const Request& request,
                      const Respond& respond,
                      std::function<void()>*) { Handle(request, respond); }) {
  if (!options.folder.empty()) {
    const auto files = ReadConfigFolder(options.folder);
    if (files) {
      Publish(WritePublishedConfig({1, files.value()}));
    }
  }
  if (!options.vms.empty()) {
    m_vms = ReadFile(options.vms);
  }
}

void PlatformStandIn::Handle(const Request& request, const Respond& respond) {
  if (request.path.starts_with("/_standin/")) {
    Control(request, respond);
    return;
  }
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                          std::chrono::steady_clock::now().time_since_epoch())
                          .count();
  ++m_calls_by_second[second];
  if (m_down) {
    respond({"", After::kReset});
    return;
  }
  if (request.path == "/v1/vms") {
    ++m_vm_calls;
    respond(Reply(200, m_vms));
  } else if (request.path == "/v1/config") {
    ++m_config_calls;
    GetConfig(request, respond);
  } else {
    respond(Reply(404, ""));
  }
}

std::uint64_t PlatformStandIn::Served() {
  if (m_revisions.empty()) {
    return 0;
  }
  if (m_stale != 0) {
    return m_stale;
  }
  const bool oldest = m_split && m_config_calls % 2 == 0;
  return oldest ? m_revisions.begin()->first : m_revisions.rbegin()->first;
}

void PlatformStandIn::GetConfig(const Request& request,
                                const Respond& respond) {
  const auto after = static_cast<std::uint64_t>(Number(request, "after", 0));
  const std::uint64_t served = Served();
  if (served != 0 && (served > after || m_stale != 0 || m_split)) {
    respond(Reply(200, m_revisions[served]));
    return;
  }
  auto waiting = std::make_shared<Waiting>();
  waiting->after = after;
  waiting->respond = respond;
  waiting->timer = std::make_shared<asio::steady_timer>(m_io);
  waiting->timer->expires_after(
      std::chrono::milliseconds(Number(request, "wait_ms", 0)));
  waiting->timer->async_wait([waiting](const boost::system::error_code& e) {
    if (!e && !waiting->done) {
      waiting->done = true;
      waiting->respond(Reply(200, ""));
    }
  });
  m_waiting.push_back(std::move(waiting));
}

void PlatformStandIn::Publish(const std::string& text) {
  const auto config = ParsePublishedConfig(text);
  const std::uint64_t revision =
      config ? config.value().revision : m_revisions.rbegin()->first + 1;
  m_revisions[revision] = text;
  WakeWaiting();
}

void PlatformStandIn::WakeWaiting() {
  const auto waiting = std::move(m_waiting);
  m_waiting.clear();
  std::ranges::for_each(waiting, [this](const auto& reader) {
    const std::uint64_t served = Served();
    if (reader->done) {
      return;
    }
    if (served <= reader->after) {
      m_waiting.push_back(reader);
      return;
    }
    reader->done = true;
    reader->timer->cancel();
    reader->respond(Reply(200, m_revisions[served]));
  });
}

std::string PlatformStandIn::CallsText() const {
  std::ostringstream text;
  text << "config " << m_config_calls << "\nvms " << m_vm_calls << "\n";
  std::ranges::for_each(m_calls_by_second, [&](const auto& item) {
    text << "second " << item.first << " " << item.second << "\n";
  });
  return text.str();
}

void PlatformStandIn::Control(const Request& request, const Respond& respond) {
  if (request.path == "/_standin/publish") {
    Publish(request.body);
  } else if (request.path == "/_standin/vms") {
    m_vms = request.body;
  } else if (request.path == "/_standin/set") {
    m_down = Number(request, "down", m_down ? 1 : 0) != 0;
    m_split = Number(request, "split", m_split ? 1 : 0) != 0;
    m_stale = static_cast<std::uint64_t>(
        Number(request, "serve", static_cast<long>(m_stale)));
    if (m_stale != 0 && !m_revisions.contains(m_stale)) {
      m_stale = m_revisions.begin()->first;
    }
    WakeWaiting();
  }
  respond(Reply(200, CallsText()));
}

int RunPlatform(int argc, char** argv) {
  cxxopts::Options options(
      "yuccamast-standin platform",
      "Stand-ins for the configuration service and the VM list.");
  options.add_options()(
      "ip", "IP", cxxopts::value<std::string>()->default_value("127.0.0.1"))(
      "port", "Port", cxxopts::value<std::uint16_t>())(
      "config", "Folder to publish as revision 1",
      cxxopts::value<std::string>()->default_value(""))(
      "vms", "File with the VM list",
      cxxopts::value<std::string>()->default_value(""));
  return WithOptions(options, argc, argv, [](const auto& parsed) {
    PlatformOptions platform;
    platform.ip = parsed["ip"].template as<std::string>();
    platform.port = parsed["port"].template as<std::uint16_t>();
    platform.folder = parsed["config"].template as<std::string>();
    platform.vms = parsed["vms"].template as<std::string>();
    asio::io_context io(1);
    PlatformStandIn standin(io, platform);
    io.run();
    return 0;
  });
}

}  // namespace yuccamast::standin
