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
                      const ReplyCallback& respond,
                      std::function<void()>*) { Handle(request, respond); }) {
  if (!options.config_folder.empty()) {
    const auto files = ReadConfigFolder(options.config_folder);
    if (files) {
      Publish(WritePublishedConfig({1, files.value()}));
    }
  }
  if (!options.vm_list_file.empty()) {
    m_vm_list = ReadFile(options.vm_list_file);
  }
}

void PlatformStandIn::Handle(const Request& request,
                             const ReplyCallback& respond) {
  if (request.path.starts_with("/_standin/")) {
    HandleControl(request, respond);
    return;
  }
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                          std::chrono::steady_clock::now().time_since_epoch())
                          .count();
  ++m_requests_by_second[second];
  if (m_down) {
    respond({"", ConnectionAction::kReset});
    return;
  }
  if (request.path == "/v1/vms") {
    ++m_vm_list_requests;
    respond(MakeReply(200, m_vm_list));
  } else if (request.path == "/v1/config") {
    ++m_config_requests;
    GetConfig(request, respond);
  } else {
    respond(MakeReply(404, ""));
  }
}

std::uint64_t PlatformStandIn::ServedRevision() {
  if (m_revisions.empty()) {
    return 0;
  }
  if (m_stale_revision != 0) {
    return m_stale_revision;
  }
  const bool oldest = m_split && m_config_requests % 2 == 0;
  return oldest ? m_revisions.begin()->first : m_revisions.rbegin()->first;
}

void PlatformStandIn::GetConfig(const Request& request,
                                const ReplyCallback& respond) {
  const auto after =
      static_cast<std::uint64_t>(QueryNumber(request, "after", 0));
  const std::uint64_t served_revision = ServedRevision();
  if (served_revision != 0 &&
      (served_revision > after || m_stale_revision != 0 || m_split)) {
    respond(MakeReply(200, m_revisions[served_revision]));
    return;
  }
  auto pending_poll = std::make_shared<PendingPoll>();
  pending_poll->after = after;
  pending_poll->respond = respond;
  pending_poll->timer = std::make_shared<asio::steady_timer>(m_io);
  pending_poll->timer->expires_after(
      std::chrono::milliseconds(QueryNumber(request, "wait_ms", 0)));
  pending_poll->timer->async_wait(
      [pending_poll](const boost::system::error_code& error) {
        if (!error && !pending_poll->answered) {
          pending_poll->answered = true;
          pending_poll->respond(MakeReply(200, ""));
        }
      });
  m_pending_polls.push_back(std::move(pending_poll));
}

void PlatformStandIn::Publish(const std::string& text) {
  const auto config = ParsePublishedConfig(text);
  const std::uint64_t revision =
      config ? config.value().revision : m_revisions.rbegin()->first + 1;
  m_revisions[revision] = text;
  AnswerPendingPolls();
}

void PlatformStandIn::AnswerPendingPolls() {
  const auto pending_polls = std::move(m_pending_polls);
  m_pending_polls.clear();
  std::ranges::for_each(pending_polls, [this](const auto& pending_poll) {
    const std::uint64_t served_revision = ServedRevision();
    if (pending_poll->answered) {
      return;
    }
    if (served_revision <= pending_poll->after) {
      m_pending_polls.push_back(pending_poll);
      return;
    }
    pending_poll->answered = true;
    pending_poll->timer->cancel();
    pending_poll->respond(MakeReply(200, m_revisions[served_revision]));
  });
}

std::string PlatformStandIn::FormatRequestCounts() const {
  std::ostringstream text;
  text << "config " << m_config_requests << "\nvms " << m_vm_list_requests
       << "\n";
  std::ranges::for_each(m_requests_by_second, [&](const auto& item) {
    text << "second " << item.first << " " << item.second << "\n";
  });
  return text.str();
}

void PlatformStandIn::HandleControl(const Request& request,
                                    const ReplyCallback& respond) {
  if (request.path == "/_standin/publish") {
    Publish(request.body);
  } else if (request.path == "/_standin/vms") {
    m_vm_list = request.body;
  } else if (request.path == "/_standin/set") {
    m_down = QueryNumber(request, "down", m_down ? 1 : 0) != 0;
    m_split = QueryNumber(request, "split", m_split ? 1 : 0) != 0;
    m_stale_revision = static_cast<std::uint64_t>(
        QueryNumber(request, "serve", static_cast<long>(m_stale_revision)));
    if (m_stale_revision != 0 && !m_revisions.contains(m_stale_revision)) {
      m_stale_revision = m_revisions.begin()->first;
    }
    AnswerPendingPolls();
  }
  respond(MakeReply(200, FormatRequestCounts()));
}

int RunPlatform(int argc, char** argv) {
  cxxopts::Options options(
      "yuccamast-standin platform",
      "A test double of the platform: configuration service and VM list.");
  options.add_options()(
      "ip", "IP address to listen on",
      cxxopts::value<std::string>()->default_value("127.0.0.1"))(
      "port", "Port to listen on", cxxopts::value<std::uint16_t>())(
      "config", "Folder of configuration files to publish as revision 1",
      cxxopts::value<std::string>()->default_value(""))(
      "vms", "File with the first VM list",
      cxxopts::value<std::string>()->default_value(""));
  return RunWithOptions(options, argc, argv, [](const auto& parsed) {
    PlatformOptions platform;
    platform.ip = parsed["ip"].template as<std::string>();
    platform.port = parsed["port"].template as<std::uint16_t>();
    platform.config_folder = parsed["config"].template as<std::string>();
    platform.vm_list_file = parsed["vms"].template as<std::string>();
    asio::io_context io(1);
    PlatformStandIn standin(io, platform);
    io.run();
    return 0;
  });
}

}  // namespace yuccamast::standin
