#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "support/caller.h"
#include "support/fleet.h"

using namespace kingcupshunt;
using testing::wait_until;

namespace {

constexpr int servers = 4;
const std::string marker = "poison";

// Four backend server processes that end when a body contains the marker.
struct crashing_servers {
  explicit crashing_servers(const testing::fleet& f) {
    for (int i = 0; i < servers; ++i) {
      addresses.push_back(f.address(101 + i) + ":9000");
      std::vector<std::string> command = {KINGCUPSHUNT_STANDIN_BACKEND,
                                          "--listen",
                                          addresses.back(),
                                          "--service",
                                          "fitting",
                                          "--secret",
                                          f.service_secret.text};
      for (int e = 1; e <= 3; ++e) {
        command.push_back("--announce");
        command.push_back("http://" + f.announce(e) + "/announce");
      }
      processes.emplace_back(command, (f.folder / "backends.log").string());
    }
  }

  bool set_marker() const {
    for (const auto& it : addresses) {
      const auto answer = control::call(it, "POST", "/_faults", R"({"crash_marker": "poison"})",
                                        base::milliseconds(2000));
      if (!answer || answer.value().status != 200) {
        return false;
      }
    }
    return true;
  }

  int alive() const {
    int n = 0;
    for (const auto& it : addresses) {
      n += control::call(it, "GET", "/_counts", "", base::milliseconds(2000)) ? 1 : 0;
    }
    return n;
  }

  std::vector<std::string> addresses;
  std::vector<testing::child_process> processes;
};

} // namespace

TEST_CASE("a request that crashes servers costs two of them at most, whoever resends it where") {
  testing::fleet f(38);
  f.write_configuration("10-base.json", f.base_configuration().dump(2));
  for (int i = 1; i <= 3; ++i) {
    f.start(i);
  }
  const crashing_servers backends(f);
  for (int i = 1; i <= 3; ++i) {
    REQUIRE(wait_until([&] {
      return testing::send(f.entry(i), "POST", "/fit", f.workspace_key.text, "x").status == 200;
    }));
  }
  REQUIRE(wait_until([&] {
    const auto page = f.get(1, "/status");
    return page.is_object() && page["upstreams"].size() == servers;
  }));
  REQUIRE(backends.set_marker());
  // The entry retries by itself, so two crashes may follow from the first request.
  std::string reason;
  for (int i = 0; i < 6; ++i) {
    const auto answer =
        testing::send(f.entry(i % 3 + 1), "POST", "/fit", f.workspace_key.text, marker);
    CHECK(answer.status != 200);
    reason = answer.reason;
  }
  CHECK(backends.alive() >= servers - 2);
  CHECK(reason.find("crash") != std::string::npos);
  // Others are served.
  CHECK(wait_until([&] {
    return testing::send(f.entry(1), "POST", "/fit", f.workspace_key.text, "x").status == 200;
  }));
}
