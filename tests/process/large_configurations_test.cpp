// Configurations that do not fit into one message between instances, with the real programs.

#include <doctest/doctest.h>

#include <cstdio>
#include <string>
#include <vector>

#include "entry_process.h"
#include "kingcupshunt/fleet/packed_document.h"

using namespace kingcupshunt;
using testing::wait_until;

namespace {

constexpr int tenants = 88;
constexpr int control_memory_mb = 256;

std::string key_of(int i) {
  char text[32];
  std::snprintf(text, sizeof(text), "k%06dx0123456789ab", i);
  return text;
}

/// `keys` keys, and `routes` routes beside the one at `path`.
std::string configuration(std::uint64_t version, const std::string& path, int keys, int routes) {
  soak::wire::configuration c;
  c.version = version;
  c.time_limit_s = 10;
  c.routes = {{"keyed", path, "shop", false, 1}};
  for (int i = 0; i < routes; ++i) {
    const auto name = "spare-" + std::to_string(i);
    c.routes.push_back({name, "/" + name + "/", "shop", true, 1});
  }
  c.services = {"shop"};
  for (int t = 0; t < tenants; ++t) {
    c.tenants.push_back({"tenant-" + std::to_string(t), {}, 50, 50});
  }
  for (int i = 0; i < keys; ++i) {
    c.tenants[static_cast<std::size_t>(i % tenants)].keys.push_back(key_of(i));
  }
  return soak::wire::to_text(c);
}

testing::process_limits limits() {
  testing::process_limits out;
  out.memory_mb = control_memory_mb;
  return out;
}

bool serves(testing::entry_process& p, const std::string& path, int key) {
  return wait_until([&] { return p.status_with_key(path, key_of(key)) == 200; });
}

} // namespace

// Guards against configurations that are acknowledged and that an entry can't get, at once or after
// a start (review/6).
TEST_CASE("50,000 keys and 10,000 routes are in force at an entry, also after restarts") {
  constexpr int keys = 50'000;
  testing::entry_process p(limits());
  const auto answer = p.replace(configuration(2, "/first/", keys, 10'000));
  REQUIRE(answer);
  REQUIRE(answer->status == 200);
  CHECK(serves(p, "/first/x", keys - 1));
  CHECK(p.status_with_key("/first/x", key_of(keys)) == 401);
  p.restart_entry();
  CHECK(serves(p, "/first/x", keys - 1));
  p.restart_all();
  CHECK(serves(p, "/first/x", 0));
  CHECK(serves(p, "/first/x", keys - 1));
  const auto smaller = p.replace(configuration(3, "/second/", keys - 1, 0));
  REQUIRE(smaller);
  REQUIRE(smaller->status == 200);
  CHECK(serves(p, "/second/x", 0));
  CHECK(wait_until([&] { return p.status_with_key("/second/x", key_of(keys - 1)) == 401; }));
  CHECK(p.control().peak_resident_kb() < std::size_t{control_memory_mb} * 1024);
  CHECK(p.entry().peak_resident_kb() < std::size_t{control_memory_mb} * 1024);
}

// Guards against control processes that end with the first long configuration, since the system has
// no thread left for checking it.
TEST_CASE("a long configuration takes effect where a control process can start no thread") {
  testing::entry_process p(limits());
  p.control().limit_address_space(7'500); // less than the stack of a thread
  const auto answer = p.replace(configuration(2, "/first/", 6'600, 0));
  REQUIRE(answer);
  CHECK(answer->status == 200);
  CHECK(serves(p, "/first/x", 6'599));
  CHECK(p.control().is_alive());
}

// Guards against a configuration that no instance can hold and that is neither acknowledged nor
// refused.
TEST_CASE("a configuration beyond the bound is refused at once with the bound") {
  testing::entry_process p(limits());
  const auto limit = std::to_string(fleet::max_document_bytes);
  const auto long_text = p.replace(configuration(2, "/first/", 200'000, 0));
  REQUIRE(long_text);
  CHECK(long_text->status == 413);
  CHECK(long_text->body.find(limit) != std::string::npos);
  // Its text is within the bound; its hashes are not.
  soak::wire::configuration c;
  c.version = 2;
  c.services = {"shop"};
  c.tenants = {{"tenant", {}, 50, 50}};
  for (int i = 0; i < 300'000; ++i) {
    c.tenants[0].keys.push_back(std::to_string(i));
  }
  const auto short_keys = soak::wire::to_text(c);
  REQUIRE(short_keys.size() < fleet::max_document_bytes);
  const auto many_hashes = p.replace(short_keys);
  REQUIRE(many_hashes);
  CHECK(many_hashes->status == 413);
  CHECK(many_hashes->body.find(limit) != std::string::npos);
  const auto next = p.replace(configuration(3, "/first/", 10, 0));
  REQUIRE(next);
  CHECK(next->status == 200);
  CHECK(serves(p, "/first/x", 9));
}
