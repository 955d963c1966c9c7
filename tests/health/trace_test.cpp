#include <doctest/doctest.h>

#include <filesystem>

#include "health/trace_replay.h"

namespace fs = std::filesystem;

namespace {

std::vector<fs::path> traces() {
  std::vector<fs::path> out;
  for (const auto& entry : fs::directory_iterator(fs::path(KINGCUPSHUNT_TEST_DATA) / "traces")) {
    out.push_back(entry.path());
  }
  std::ranges::sort(out);
  return out;
}

} // namespace

// Guards against missed faults, false ejections and wrong fault scopes in every case of the design.
TEST_CASE("every recorded trace has its stated outcomes") {
  const auto all = traces();
  CHECK(all.size() >= 30);
  for (const auto& path : all) {
    support::trace_replay replay(path.string());
    REQUIRE_FALSE(replay.is_empty());
    replay.run();
    CHECK_FALSE(replay.expectations.empty());
    for (const auto& failure : replay.failures()) {
      FAIL_CHECK(path.filename().string() << ": " << failure);
    }
  }
}

// Guards against decisions that depend on anything other than the recorded inputs.
TEST_CASE("replaying a trace gives the same decisions") {
  const auto path = traces().front().string();
  support::trace_replay first(path);
  support::trace_replay second(path);
  first.run();
  second.run();
  CHECK_FALSE(first.decisions.empty());
  CHECK(first.decisions == second.decisions);
}
