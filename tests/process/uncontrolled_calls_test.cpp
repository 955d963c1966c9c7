#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>

#include "crowd.h"
#include "entry_process.h"

using namespace kingcupshunt;
using testing::crowd;
using testing::entry_process;
using testing::process_limits;
using testing::wait_until;
using testing::watched_process;

// Clients of the ports beside the entry's own: the directory, control, readiness, the metrics and
// the ports between instances. One client could fill each of them, and their sockets held more
// bytes than the process may use.

namespace {

constexpr std::size_t many = 1200; // more than a port takes

/// The peaks of a process while a crowd sends.
struct peaks {
  explicit peaks(watched_process& p) : process(p) {}
  void measure() {
    held_kb = std::max(held_kb, process.resident_kb() + process.unread_kb());
    descriptors = std::max(descriptors, process.descriptors());
  }
  watched_process& process;
  std::size_t held_kb = 0; ///< resident, and arrived but not read
  std::size_t descriptors = 0;
};

/// All clients from one address.
struct port_crowd {
  port_crowd(entry_process& e, watched_process& p, std::uint16_t port, std::size_t n,
             const std::string& text)
      : peak(p), clients({{e.caller_addresses().front()}, p.address(), port}, n, text) {
    clients.send_all([this] { peak.measure(); });
    p.wait_until_settled();
    peak.measure();
  }
  peaks peak;
  crowd clients;
};

std::string unfinished_head(std::size_t size) {
  return "GET / HTTP/1.1\r\nHost: a\r\nPadding: " + std::string(size, 'p');
}

/// A chunked call whose last chunk is missing.
std::string unfinished_call(const std::string& target, std::size_t body) {
  std::string out = "POST " + target + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t chunk = 0x4000;
  for (std::size_t n = 0; n < body; n += chunk) {
    out += "4000\r\n" + std::string(chunk, 'b') + "\r\n";
  }
  return out;
}

/// A call whose body has `length` bytes, of which `sent` are sent.
std::string cut_call(std::size_t length, std::size_t sent) {
  return "POST " + soak::wire::replace_target() +
         " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" +
         std::string(sent, 'b');
}

bool is_answered(const std::string& address, std::uint16_t port, const std::string& method,
                 const std::string& target) {
  const auto answer = control::call(address + ":" + std::to_string(port), method, target, "",
                                    base::milliseconds(2000));
  return answer && answer.value().status == 200;
}

/// An ordinary call of each port is answered within 20 s; an idle connection stays for 30 s.
void check_directory(const entry_process& e) {
  CHECK(wait_until([&] {
    return is_answered(e.control_address(), entry_process::directory_port, "GET",
                       soak::wire::resolve_target());
  }));
}

void check_control(const entry_process& e) {
  CHECK(wait_until([&] {
    return is_answered(e.control_address(), entry_process::control_port, "POST",
                       soak::wire::read_target());
  }));
}

void check_readiness(const entry_process& e) {
  CHECK(wait_until([&] {
    return is_answered(e.entry_address(), entry_process::readiness_port, "GET", "/-/ready");
  }));
}

void check_metrics(const std::string& address) {
  CHECK(wait_until(
      [&] { return is_answered(address, entry_process::metrics_port, "GET", "/metrics"); }));
}

void check_processes(entry_process& e) {
  CHECK(e.control().is_alive());
  CHECK(e.entry().is_alive());
  CHECK(wait_until([&] { return e.is_serving(); }));
}

} // namespace

TEST_CASE("one client that fills a port with connections leaves it to others") {
  entry_process e;
  SUBCASE("directory, idle") {
    const port_crowd c(e, e.control(), entry_process::directory_port, many, "");
    check_directory(e);
  }
  SUBCASE("directory, unfinished heads") {
    const port_crowd c(e, e.control(), entry_process::directory_port, many, unfinished_head(10));
    check_directory(e);
  }
  SUBCASE("control, idle") {
    const port_crowd c(e, e.control(), entry_process::control_port, many, "");
    check_control(e);
  }
  SUBCASE("control, unfinished bodies") {
    const port_crowd c(e, e.control(), entry_process::control_port, many,
                       unfinished_call(soak::wire::replace_target(), 0x4000));
    check_control(e);
  }
  SUBCASE("readiness, idle") {
    const port_crowd c(e, e.entry(), entry_process::readiness_port, many, "");
    check_readiness(e);
  }
  SUBCASE("readiness, unfinished heads") {
    const port_crowd c(e, e.entry(), entry_process::readiness_port, many, unfinished_head(10));
    check_readiness(e);
  }
  SUBCASE("metrics of an entry, idle") {
    const port_crowd c(e, e.entry(), entry_process::metrics_port, many, "");
    check_metrics(e.entry_address());
  }
  SUBCASE("metrics of a control instance, idle") {
    const port_crowd c(e, e.control(), entry_process::metrics_port, many, "");
    check_metrics(e.control_address());
  }
  check_processes(e);
}

TEST_CASE("calls that stop short stay within the memory of a control instance, unread bytes too") {
  entry_process e;
  const auto limit_kb = std::size_t{entry_process::memory_mb} * 1024;
  SUBCASE("directory, bodies in chunks") {
    const port_crowd c(e, e.control(), entry_process::directory_port, many,
                       unfinished_call("/", 0x40000));
    CHECK(c.peak.held_kb <= limit_kb);
    check_directory(e);
  }
  SUBCASE("directory, heads") {
    const port_crowd c(e, e.control(), entry_process::directory_port, many,
                       unfinished_head(16'000));
    CHECK(c.peak.held_kb <= limit_kb);
    check_directory(e);
  }
  SUBCASE("control, bodies in chunks") {
    const port_crowd c(e, e.control(), entry_process::control_port, many,
                       unfinished_call(soak::wire::replace_target(), 0x40000));
    CHECK(c.peak.held_kb <= limit_kb);
    check_control(e);
  }
  SUBCASE("control, bodies with a length") {
    const port_crowd c(e, e.control(), entry_process::control_port, many,
                       cut_call(900'000, 0x40000));
    CHECK(c.peak.held_kb <= limit_kb);
    check_control(e);
  }
  SUBCASE("control, bodies of a few KiB") {
    const port_crowd c(e, e.control(), entry_process::control_port, many, cut_call(16'000, 15'000));
    CHECK(c.peak.held_kb <= limit_kb);
    check_control(e);
  }
  SUBCASE("metrics, bodies in chunks") {
    const port_crowd c(e, e.control(), entry_process::metrics_port, many,
                       unfinished_call("/", 0x40000));
    CHECK(c.peak.held_kb <= limit_kb);
    check_metrics(e.control_address());
  }
  check_processes(e);
}

TEST_CASE("calls that stop short stay within the memory of an entry, unread bytes too") {
  entry_process e;
  const auto limit_kb = std::size_t{entry_process::memory_mb} * 1024;
  SUBCASE("readiness, bodies in chunks") {
    const port_crowd c(e, e.entry(), entry_process::readiness_port, many,
                       unfinished_call("/", 0x40000));
    CHECK(c.peak.held_kb <= limit_kb);
    check_readiness(e);
  }
  SUBCASE("metrics, bodies in chunks") {
    const port_crowd c(e, e.entry(), entry_process::metrics_port, many,
                       unfinished_call("/", 0x40000));
    CHECK(c.peak.held_kb <= limit_kb);
    check_metrics(e.entry_address());
  }
  check_processes(e);
}

// The entry stops reading a connection whose requests wait; what arrives then stays in its sockets.
TEST_CASE("requests behind answers that are not read stay within the memory, unread bytes too") {
  entry_process e;
  std::string text;
  for (int i = 0; i < 100; ++i) {
    text += "GET /read/16000 HTTP/1.1\r\nHost: " + std::string(soak::wire::host) +
            "\r\nRequest-Id: 1\r\nPadding: " + std::string(2000, 'p') + "\r\n\r\n";
  }
  crowd c({e.caller_addresses(), e.entry_address(), entry_process::entry_port}, 1000, text);
  peaks peak(e.entry());
  c.send_all([&] { peak.measure(); });
  e.wait_until_settled();
  peak.measure();
  MESSAGE("held ", peak.held_kb, " KiB");
  CHECK(peak.held_kb <= std::size_t{entry_process::memory_mb} * 1024);
  check_processes(e);
}

TEST_CASE("answers of control instances that are not read stay within their memory") {
  process_limits limits;
  limits.memory_mb = 128;
  limits.routes = 1500;
  entry_process e(limits);
  std::string calls;
  for (int i = 0; i < 8; ++i) {
    calls +=
        "POST " + soak::wire::read_target() + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
  }
  const port_crowd c(e, e.control(), entry_process::control_port, 600, calls);
  CHECK(c.peak.held_kb <= std::size_t{128} * 1024);
  check_control(e);
  check_processes(e);
}

TEST_CASE("the ports of a process share its descriptors") {
  process_limits limits;
  limits.max_fds = 600;
  entry_process e(limits);
  SUBCASE("control instance") {
    const port_crowd directory(e, e.control(), entry_process::directory_port, 1000, "");
    const port_crowd control(e, e.control(), entry_process::control_port, 1000, "");
    const port_crowd metrics(e, e.control(), entry_process::metrics_port, 1000, "");
    const port_crowd peers(e, e.control(), entry_process::peer_port, 1000, "");
    CHECK(std::max({directory.peak.descriptors, control.peak.descriptors, metrics.peak.descriptors,
                    peers.peak.descriptors}) <= 600);
    check_directory(e);
    check_control(e);
    check_metrics(e.control_address());
  }
  SUBCASE("entry") {
    const port_crowd callers(e, e.entry(), entry_process::entry_port, 1000, "");
    const port_crowd readiness(e, e.entry(), entry_process::readiness_port, 1000, "");
    const port_crowd metrics(e, e.entry(), entry_process::metrics_port, 1000, "");
    const port_crowd tunnels(e, e.entry(), entry_process::tunnel_port, 1000, "");
    const port_crowd peers(e, e.entry(), entry_process::peer_port, 1000, "");
    CHECK(std::max({callers.peak.descriptors, readiness.peak.descriptors, metrics.peak.descriptors,
                    tunnels.peak.descriptors, peers.peak.descriptors}) <= 600);
    check_readiness(e);
    check_metrics(e.entry_address());
  }
  check_processes(e);
}

TEST_CASE("instances reach each other while a client fills the ports between them") {
  entry_process e;
  const auto from = e.caller_addresses();
  SUBCASE("peer port of a control instance") {
    const testing::tireless_crowd c({from, e.control_address(), entry_process::peer_port}, 1100);
    e.restart_entry();
    check_processes(e);
  }
  SUBCASE("peer and tunnel ports of an entry") {
    const testing::tireless_crowd peers({from, e.entry_address(), entry_process::peer_port}, 1100);
    const testing::tireless_crowd tunnels({from, e.entry_address(), entry_process::tunnel_port},
                                          2100);
    e.restart_entry();
    check_processes(e);
  }
}

TEST_CASE("processes end when told to while their ports are full") {
  entry_process e;
  const port_crowd callers(e, e.entry(), entry_process::entry_port, many, unfinished_head(10));
  const port_crowd readiness(e, e.entry(), entry_process::readiness_port, many, "");
  const port_crowd directory(e, e.control(), entry_process::directory_port, many, "");
  e.entry().send(SIGTERM);
  CHECK(wait_until([&] { return !e.entry().is_alive(); }));
  e.control().send(SIGTERM);
  CHECK(wait_until([&] { return !e.control().is_alive(); }));
}
