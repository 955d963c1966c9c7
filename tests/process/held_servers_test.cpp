#include <doctest/doctest.h>

#include "crowd.h"
#include "entry_process.h"

using namespace kingcupshunt;
using testing::crowd;
using testing::entry_process;
using testing::process_limits;

// Clients that stop within a body, or don't read an answer, held all connections to the backend
// servers: ordinary requests were refused although the servers did nothing.

namespace {

/// Longer than the check waits, so that no request of the crowd ends by itself meanwhile.
constexpr int time_limit_s = 60;

void check_serves_beside(std::size_t clients, const std::string& text) {
  process_limits limits;
  limits.time_limit_s = time_limit_s;
  entry_process entry(limits);
  crowd c({entry.caller_addresses(), entry.entry_address(), entry_process::entry_port}, clients,
          text);
  c.send_all([] {});
  entry.wait_until_settled();
  REQUIRE(entry.is_alive());
  CHECK(testing::wait_until([&] { return entry.is_serving(); }, std::chrono::seconds(30)));
  CHECK(entry.peak_resident_kb() <= entry_process::most_resident_kb);
  CHECK(entry.is_alive());
}

std::string head(const std::string& line, const std::string& fields) {
  return line + " HTTP/1.1\r\nHost: " + soak::wire::host + "\r\n" + soak::wire::request_id +
         ": 1\r\n" + fields + "\r\n";
}

std::string stopped_body(const std::string& path) {
  return head("POST " + path, "Content-Length: 2000000\r\n") + std::string(1'900'000, 'b');
}

} // namespace

TEST_CASE("streamed bodies that stop short leave connections to the backend servers") {
  SUBCASE("100 on a route for requests that run once") {
    check_serves_beside(100, stopped_body("/write"));
  }
  SUBCASE("400 on a route for requests that run once") {
    check_serves_beside(400, stopped_body("/write"));
  }
  SUBCASE("100 uploads") {
    check_serves_beside(100, stopped_body("/upload"));
  }
  SUBCASE("400 uploads") {
    check_serves_beside(400, stopped_body("/upload"));
  }
}

TEST_CASE("long answers that are not read leave connections to the backend servers") {
  SUBCASE("100 that are passed on as they arrive") {
    check_serves_beside(100, head("GET /read/5000000", ""));
  }
  SUBCASE("400 that are passed on as they arrive") {
    check_serves_beside(400, head("GET /read/5000000", ""));
  }
  SUBCASE("400 that could be collected") {
    check_serves_beside(400, head("GET /read/900000", ""));
  }
}
