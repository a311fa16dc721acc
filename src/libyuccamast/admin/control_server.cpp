// Compiled as C++17, which the headers of cxxtools need.
#include "admin/control_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/regex.h>

#include <algorithm>
#include <system_error>
#include <thread>

namespace yuccamast {

namespace {

class Responder : public cxxtools::http::Responder {
 public:
  Responder(cxxtools::http::Service& service, const ControlHandler& handler)
      : cxxtools::http::Responder(service), m_handler(handler) {}

  void reply(std::ostream& out,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    if (request.method() != "GET") {
      reply.httpReturn(405, "Method Not Allowed");
      return;
    }
    const ControlReply answer = m_handler(request.url());
    reply.httpReturn(answer.status, answer.status == 200 ? "OK" : "Error");
    reply.setHeader("Content-Type", answer.content_type.c_str());
    out << answer.body;
  }

 private:
  const ControlHandler& m_handler;
};

class Service : public cxxtools::http::Service {
 public:
  explicit Service(ControlHandler handler) : m_handler(std::move(handler)) {}

 protected:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request& /*request*/) override {
    return new Responder(*this, m_handler);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override {
    delete responder;
  }

 private:
  const ControlHandler m_handler;
};

}  // namespace

class ControlServer::Impl {
 public:
  Impl(const std::string& ip,
       const std::vector<std::uint16_t>& ports,
       ControlHandler handler)
      : m_service(std::move(handler)), m_server(m_loop) {
    m_server.minThreads(1);
    m_server.maxThreads(4);
    m_server.addService(cxxtools::Regex(".*"), m_service);
    std::for_each(ports.begin(), ports.end(), [&](std::uint16_t port) {
      if (port != 0) {
        Listen(ip, port);
      }
    });
    m_thread = std::thread([this] { m_loop.run(); });
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() {
    m_loop.exit();
    m_thread.join();
  }

 private:
  void Listen(const std::string& ip, std::uint16_t port) {
    try {
      m_server.listen(ip, port);
    } catch (const cxxtools::net::AddressInUse&) {
      throw std::system_error(std::make_error_code(std::errc::address_in_use),
                              ip + ":" + std::to_string(port));
    }
  }

  cxxtools::EventLoop m_loop;
  Service m_service;
  cxxtools::http::Server m_server;
  std::thread m_thread;
};

ControlServer::ControlServer(const std::string& ip,
                             const std::vector<std::uint16_t>& ports,
                             ControlHandler handler)
    : m_impl(std::make_unique<Impl>(ip, ports, std::move(handler))) {}

ControlServer::~ControlServer() = default;

}  // namespace yuccamast
