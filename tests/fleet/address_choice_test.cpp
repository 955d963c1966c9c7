#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

#include "kingcupshunt/fleet/address_choice.h"
#include "kingcupshunt/fleet/control_core.h"

using namespace kingcupshunt;
using namespace kingcupshunt::fleet;
using peer::message_kind;

// The largest deployment has 126 entries. Callers spread their requests over the addresses that
// they are given.

namespace {

constexpr std::size_t entry_count = 126;

struct named {
  std::size_t direct = 0;
  std::size_t tunnelled = 0;
  std::size_t none = 0;
};

/// A control instance that hears of entries.
struct heard_entries {
  heard_entries() {
    control_settings settings;
    settings.self = "c1";
    control_hooks hooks;
    hooks.send = [](std::string_view, message_kind, const std::string&) {};
    hooks.log = [this](std::string_view event, std::string_view) { events.emplace_back(event); };
    core = std::make_unique<control_core>(std::move(settings), std::move(hooks));
    consensus::replica_settings replica;
    replica.self = {"c1", "c1"};
    document_log_hooks log_hooks;
    log_hooks.send = [](std::string_view, message_kind, const std::string&) {};
    log_hooks.persist = [](consensus::write_batch) {};
    log_hooks.save_snapshot = [](const consensus::snapshot&) {};
    log_hooks.on_document = [](const versioned_document&) {};
    log = std::make_unique<document_log>(std::move(replica), std::move(log_hooks),
                                         consensus::recovered_state{}, now);
    core->set_log(log.get());
  }

  void hear(std::size_t entry, entry_reach reach) {
    entry_ask ask;
    const char* kind = reach == entry_reach::direct      ? "direct:"
                       : reach == entry_reach::tunnelled ? "tunnelled:"
                                                         : "none:";
    ask.entry_address = kind + std::to_string(entry);
    ask.is_ready = true;
    ask.is_cut_off = reach != entry_reach::direct;
    ask.has_no_path = reach == entry_reach::none;
    core->receive("e" + std::to_string(entry), message_kind::entry_ask, peer::pack(ask), now);
  }

  /// The first entries have the reach `reach`, the others reach the servers directly.
  named after(std::size_t cut_off, entry_reach reach, std::size_t count = entry_count) {
    for (std::size_t i = 0; i < count; ++i) {
      hear(i, i < cut_off ? reach : entry_reach::direct);
    }
    named out;
    for (const auto& address : core->entry_addresses(now)) {
      out.direct += address.starts_with("direct") ? 1 : 0;
      out.tunnelled += address.starts_with("tunnelled") ? 1 : 0;
      out.none += address.starts_with("none") ? 1 : 0;
    }
    return out;
  }

  base::time_point now{base::seconds(1000)};
  std::vector<std::string> events;
  std::unique_ptr<control_core> core;
  std::unique_ptr<document_log> log;
};

} // namespace

TEST_CASE("one entry without a path gives up its place in the address answers and takes it back") {
  heard_entries f;
  auto got = f.after(1, entry_reach::none);
  CHECK(got.direct == entry_count - 1);
  CHECK(got.none == 0);
  CHECK(std::ranges::count(f.events, "entry_without_path") == 1);
  got = f.after(0, entry_reach::direct);
  CHECK(got.direct == entry_count);
  CHECK(std::ranges::count(f.events, "entry_reaches_servers") == 1);
}

TEST_CASE("with half of the entries without a path, only the others are named") {
  heard_entries f;
  const auto got = f.after(entry_count / 2, entry_reach::none);
  CHECK(got.direct == entry_count / 2);
  CHECK(got.none == 0);
}

// Guards against ten times the usual requests at each of the few entries that still serve.
TEST_CASE("with nine tenths of the entries cut off, the others get at most 2.5 times their share") {
  heard_entries f;
  SUBCASE("without a path") {
    const auto got = f.after(113, entry_reach::none);
    CHECK(got.direct == 13);
    CHECK(got.none == 50 - 13); // 0.4 of 126
  }
  SUBCASE("with tunnels") {
    const auto got = f.after(113, entry_reach::tunnelled);
    CHECK(got.direct == 13);
    CHECK(got.tunnelled == 50 - 13);
  }
}

TEST_CASE("entries that serve through tunnels are named before those without a path") {
  heard_entries f;
  (void)f.after(113, entry_reach::none);
  for (std::size_t i = 0; i < 20; ++i) {
    f.hear(i, entry_reach::tunnelled);
  }
  std::size_t tunnelled = 0;
  std::size_t none = 0;
  for (const auto& address : f.core->entry_addresses(f.now)) {
    tunnelled += address.starts_with("tunnelled") ? 1 : 0;
    none += address.starts_with("none") ? 1 : 0;
  }
  CHECK(tunnelled == 20);
  CHECK(none == 50 - 13 - 20);
}

TEST_CASE("when no entry has a path, all are named, also the only one left") {
  heard_entries all;
  CHECK(all.after(entry_count, entry_reach::none).none == entry_count);
  heard_entries one;
  CHECK(one.after(1, entry_reach::none, 1).none == 1);
}

// Deployments with few entries are served as before.
TEST_CASE("of three entries, two of which are cut off, only the third is named") {
  heard_entries f;
  const auto got = f.after(2, entry_reach::tunnelled, 3);
  CHECK(got.direct == 1);
  CHECK(got.tunnelled == 0);
}

// Guards against control instances that name different entries, among which callers then change.
TEST_CASE("the entries that are named do not depend on the order in which they were heard") {
  std::vector<address_candidate> some;
  for (int i = 0; i < 20; ++i) {
    some.push_back(
        {"10.0.0." + std::to_string(i) + ":80", i < 2 ? entry_reach::direct : entry_reach::none});
  }
  auto reversed = some;
  std::ranges::reverse(reversed);
  auto a = choose_addresses(some);
  auto b = choose_addresses(reversed);
  std::ranges::sort(a);
  std::ranges::sort(b);
  CHECK(a == b);
  CHECK(a.size() == 8);
}
