#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>

#include "crowd.h"
#include "entry_process.h"

using namespace kingcupshunt;
using testing::crowd;
using testing::entry_process;

// Clients that send without end or stop short brought an entry down: it ran out of memory. The
// number of clients, what they send and the bounds of entry_process stay as they are.

namespace {

std::string head(const std::string& method, const std::string& path, const std::string& fields) {
  return method + " " + path + " HTTP/1.1\r\nHost: " + soak::wire::host + "\r\n" +
         soak::wire::request_id + ": 1\r\n" + fields + "\r\n";
}

/// A chunked request whose last chunk is missing.
std::string chunked_request(std::size_t chunk, std::size_t body) {
  std::ostringstream out;
  out << head("POST", "/write", "Transfer-Encoding: chunked\r\n");
  const std::string data(chunk, 'b');
  for (std::size_t n = 0; n < body; n += chunk) {
    out << std::hex << chunk << "\r\n" << data << "\r\n";
  }
  return out.str();
}

void check_survives(entry_process& entry, std::size_t clients, const std::string& text) {
  crowd c({entry.caller_addresses(), entry.entry_address(), entry_process::entry_port}, clients,
          text);
  std::size_t descriptors = 0;
  const auto count = [&] { descriptors = std::max(descriptors, entry.descriptors()); };
  c.send_all(count);
  entry.wait_until_settled();
  count();
  REQUIRE(entry.is_alive());
  const auto resident_kb = entry.peak_resident_kb();
  MESSAGE("peak resident memory ", resident_kb, " KiB of ", entry_process::most_resident_kb,
          ", descriptors ", descriptors, " of ", entry_process::most_descriptors);
  CHECK(resident_kb <= entry_process::most_resident_kb);
  CHECK(descriptors <= entry_process::most_descriptors);
  CHECK(testing::wait_until([&] { return entry.is_serving(); }, std::chrono::seconds(30)));
  CHECK(entry.is_alive());
}

} // namespace

TEST_CASE("many bodies in large chunks that stop short stay within the memory of an entry") {
  entry_process entry;
  check_survives(entry, 160, chunked_request(200'000, 800'000));
}

TEST_CASE("many bodies in chunks of a few bytes that stop short stay within the memory") {
  entry_process entry;
  check_survives(entry, 160, chunked_request(8, 400'000));
}

TEST_CASE("many bodies with a length that stop short stay within the memory of an entry") {
  entry_process entry;
  const auto text = head("POST", "/write", "Content-Length: 900000\r\n");
  check_survives(entry, 160, text + std::string(880'000, 'b'));
}

TEST_CASE("many clients that don't read long answers leave an entry within its memory") {
  entry_process entry;
  std::string text;
  for (int i = 0; i < 8; ++i) {
    text += head("GET", "/read/900000", "");
  }
  check_survives(entry, 200, text);
}

TEST_CASE("many pipelined requests of clients that don't read stay within an entry's memory") {
  entry_process entry;
  std::string text;
  for (int i = 0; i < 64; ++i) {
    text += head("GET", "/read/16000", "Padding: " + std::string(2000, 'p') + "\r\n");
  }
  check_survives(entry, 800, text);
}

TEST_CASE("many heads that stop short stay within the memory and descriptors of an entry") {
  entry_process entry;
  auto text = head("GET", "/read/1", "Padding: " + std::string(15'000, 'p') + "\r\n");
  text.resize(text.size() - 4);
  check_survives(entry, 2500, text);
}

TEST_CASE("many connections without a request stay within the descriptors of an entry") {
  entry_process entry;
  check_survives(entry, 5000, "");
}
