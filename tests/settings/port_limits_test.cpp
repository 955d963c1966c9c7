#include <doctest/doctest.h>

#include "kingcupshunt/settings/port_limits.h"

using namespace kingcupshunt;
using settings::role_settings;

namespace {

role_settings with(std::size_t memory_mb, std::size_t descriptors) {
  role_settings out;
  out.memory_bytes = memory_mb << 20U;
  out.descriptors = descriptors;
  return out;
}

std::size_t sockets_of_entry(const settings::port_limits& p) {
  return p.callers + p.upstreams + 2 * p.tunnels + p.readiness + p.metrics + p.peers;
}

std::size_t sockets_of_control(const settings::port_limits& p) {
  return p.control + p.directory + p.metrics + p.peers;
}

} // namespace

// Guards against ports that together take more descriptors than the process has.
TEST_CASE("the ports of a process fit into its descriptors") {
  for (const std::size_t n : {600U, 1024U, 4096U, 4100U, 9840U, 65536U}) {
    CHECK(sockets_of_entry(settings::entry_limits_of(with(624, n), 0)) <= n);
    CHECK(sockets_of_control(settings::control_limits_of(with(256, n), 0)) <= n);
  }
  // The lower of the deployment's and the system's limit counts.
  const auto lower = settings::entry_limits_of(with(624, 9840), 1024);
  CHECK(lower.callers == settings::entry_limits_of(with(624, 1024), 9840).callers);
  CHECK(sockets_of_entry(lower) <= 1024);
}

TEST_CASE("without stated limits the ports have fixed ones") {
  const auto p = settings::entry_limits_of({}, 0);
  CHECK(p.callers == 8000);
  CHECK(p.upstreams == 0);
  CHECK(settings::control_limits_of({}, 0).control == 1024);
}

// Guards against connections and calls that hold more than the memory of a control instance.
TEST_CASE("what calls to a control instance hold leaves half of a small memory") {
  constexpr std::size_t connection = std::size_t{40} * 1024;
  for (const std::size_t mb : {64U, 128U, 256U, 1024U}) {
    const auto p = settings::control_limits_of(with(mb, 4096), 0);
    CHECK((p.control + p.directory) * connection + 2 * p.call_memory <= (mb << 20U) / 2);
    CHECK(p.control >= 64);
  }
}

TEST_CASE("receive buffers share the memory that is given for them") {
  CHECK(settings::receive_buffer_of(std::size_t{16} << 20U, 1024) == 8 * 1024);
  CHECK(settings::receive_buffer_of(std::size_t{1} << 30U, 10) == 64 * 1024);
  CHECK(settings::receive_buffer_of(1 << 20U, 100'000) == 4 * 1024);
  CHECK(settings::receive_buffer_of(0, 10) == 0);
  CHECK(settings::receive_buffer_of(1 << 20U, 0) == 0);
}
