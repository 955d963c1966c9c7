#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/peer/message.h"
#include "kingcupshunt/state/machine.h"

using namespace kingcupshunt;
using namespace kingcupshunt::state;

namespace {

template <class T>
std::string pack_command(command_kind kind, const T& c, std::uint64_t time_ms = 0) {
  return peer::pack(command{time_ms, kind, peer::pack(c)});
}

const std::string secret(64, 'a');

std::string service_file(const std::string& name) {
  return R"({"services": {")" + name + R"(": {"secret_sha256": ")" + secret + "\"}}}";
}

std::string route_file(const std::string& name, const std::string& service) {
  return R"({"routes": {")" + name + R"(": {"service": ")" + service + R"(", "prefix": "/)" + name +
         "\"}}}";
}

change_files change(const std::string& id, std::uint64_t base,
                    std::map<std::string, std::string> changed,
                    std::vector<std::string> removed = {}) {
  return {id, base, "author of " + id, std::move(changed), std::move(removed)};
}

command_result apply(machine& m, const change_files& c, std::uint64_t time_ms = 0) {
  return m.apply(pack_command(command_kind::change_files, c, time_ms));
}

command_result apply(machine& m, const reserve& c, std::uint64_t time_ms = 0) {
  return m.apply(pack_command(command_kind::reserve, c, time_ms));
}

command_result apply(machine& m, const release& c, std::uint64_t time_ms = 0) {
  return m.apply(pack_command(command_kind::release, c, time_ms));
}

command_result apply(machine& m, const complete& c, std::uint64_t time_ms = 0) {
  return m.apply(pack_command(command_kind::complete, c, time_ms));
}

constexpr std::uint64_t day_ms = 24ULL * 3600 * 1000;

} // namespace

TEST_CASE("of two changes on one revision the later one learns the winner's author and revision") {
  machine m({});
  const auto won = apply(m, change("r1", 0, {{"10.json", service_file("fitting")}}));
  CHECK(won.code == outcome::accepted);
  CHECK(won.revision == 1);
  const auto lost = apply(m, change("r2", 0, {{"10.json", service_file("orders")}}));
  CHECK(lost.code == outcome::conflict);
  CHECK(lost.revision == 1);
  CHECK(lost.author == "author of r1");
  // A resend after a lost answer has no second effect and gets the first answer.
  CHECK(apply(m, change("r1", 0, {{"10.json", service_file("fitting")}})) == won);
  CHECK(apply(m, change("r2", 0, {{"10.json", service_file("orders")}})) == lost);
  CHECK(apply(m, change("r1", 1, {{"10.json", ""}})).code == outcome::request_id_reused);
  CHECK(m.revision() == 1);
}

TEST_CASE("a bad folder and the removal of all files change nothing") {
  machine m({});
  REQUIRE(apply(m, change("r1", 0, {{"10.json", service_file("fitting")}})).code ==
          outcome::accepted);
  const auto bad = apply(m, change("r2", 1, {{"20.json", route_file("fit", "none")}}));
  CHECK(bad.code == outcome::invalid);
  CHECK(bad.detail.find("20.json") != std::string::npos);
  CHECK(bad.detail.find("/routes/fit/service") != std::string::npos);
  CHECK(apply(m, change("r3", 1, {}, {"10.json"})).code == outcome::removes_all);
  const std::string deep = "{\"services\": {\"a\": " + std::string(100000, '[');
  CHECK(apply(m, change("r4", 1, {{"30.json", deep}})).code == outcome::invalid);
  CHECK(apply(m, change("r5", 1, {{"30.json", R"({"routes": {"a~b/c": {"x~y": 1}}})"}})).code ==
        outcome::invalid);
  CHECK(
      apply(m, change("r6", 1, {{"30.json", R"({"workspaces": {"w": {"rate": 1e999}}})"}})).code ==
      outcome::invalid);
  CHECK(m.revision() == 1);
  CHECK(m.configuration().files().size() == 1);
}

TEST_CASE("answers to request ids are kept a day, and a full table refuses") {
  machine_settings s;
  s.requests.max_ids = 2;
  machine m(s);
  apply(m, change("r1", 0, {{"10.json", service_file("a")}}), 1000);
  apply(m, change("r2", 0, {}), 1000);
  CHECK(apply(m, change("r3", 1, {}), 1000).code == outcome::full);
  CHECK(apply(m, change("r1", 0, {{"10.json", service_file("a")}}), day_ms).revision == 1);
  CHECK(apply(m, change("r3", 1, {}), 1000 + day_ms).code == outcome::accepted);
  // Time of a later leader never runs backwards.
  CHECK(apply(m, change("r4", 1, {}), 5).code == outcome::accepted);
  CHECK(m.time_ms() == 1000 + day_ms);
}

TEST_CASE("the view changes by version and only after the former change has settled") {
  machine m({});
  set_view v{"v1", 0, 0, "ops", {{"b", "x", "", "", true}, {"a", "x", "", "", true}}};
  CHECK(m.apply(pack_command(command_kind::set_view, v)).version == 1);
  CHECK(m.view().members[0].id == "a");
  v.request_id = "v2";
  CHECK(m.apply(pack_command(command_kind::set_view, v)).code == outcome::conflict);
  v.request_id = "v3";
  v.base_version = 1;
  CHECK(m.apply(pack_command(command_kind::set_view, v)).code == outcome::view_not_settled);
  v.request_id = "v4";
  v.held_version = 1;
  CHECK(m.apply(pack_command(command_kind::set_view, v)).version == 2);
  // A change of the view does not make a change of files lose a race.
  CHECK(apply(m, change("r1", 0, {{"10.json", service_file("a")}})).revision == 3);
}

// Guards against a second run of a deposit: only one attempt is ever granted.
TEST_CASE("a key is granted to one attempt and answers resends") {
  machine m({});
  const reserve first{"w", "k", 7, 1};
  CHECK(apply(m, first).code == outcome::granted);
  CHECK(apply(m, first).code == outcome::granted); // resend by the same attempt
  const auto held = apply(m, reserve{"w", "k", 7, 2}, 1500);
  CHECK(held.code == outcome::may_have_run);
  CHECK(held.age_ms == 1500);
  CHECK(apply(m, reserve{"w", "k", 8, 3}).code == outcome::differs);
  CHECK(apply(m, release{"w", "k", 2}).code == outcome::not_reserved);
  CHECK(apply(m, complete{"w", "k", 1, true, {201, "text/plain", "ok"}}).code == outcome::done);
  const auto again = apply(m, reserve{"w", "k", 7, 4});
  CHECK(again.code == outcome::done);
  CHECK(again.answer == kept_answer{201, "text/plain", "ok"});
  CHECK(apply(m, release{"w", "k", 1}).code == outcome::not_reserved);
  CHECK(apply(m, reserve{"w", "k", 7, 5}, day_ms + 1500).code == outcome::granted);
}

TEST_CASE("a released attempt is never granted, also when its reserve arrives after the release") {
  machine m({});
  CHECK(apply(m, release{"w", "k", 1}).code == outcome::released);
  CHECK(apply(m, reserve{"w", "k", 7, 1}).code == outcome::released);
  CHECK(apply(m, reserve{"w", "k", 7, 2}).code == outcome::granted);
  CHECK(apply(m, release{"w", "k", 2}).code == outcome::released);
  CHECK(apply(m, reserve{"w", "k", 9, 3}).code == outcome::granted);
}

TEST_CASE("a full table of reservations refuses and drops nothing early") {
  machine_settings s;
  s.reservations.max_records = 2;
  s.reservations.max_body_bytes = 4;
  machine m(s);
  apply(m, reserve{"w", "1", 7, 1}, 1000);
  apply(m, reserve{"w", "2", 7, 2}, 2000);
  CHECK(apply(m, reserve{"w", "3", 7, 3}, 3000).code == outcome::full);
  apply(m, complete{"w", "1", 1, true, {200, "", "too long"}}, 3000);
  const auto done = apply(m, reserve{"w", "1", 7, 4}, 3000);
  CHECK(done.code == outcome::done);
  CHECK(!done.has_answer);
  CHECK(apply(m, reserve{"w", "3", 7, 3}, 1000 + day_ms).code == outcome::granted);
}

namespace {

/// Random commands over few names, so that they meet.
std::string random_command(base::rng& rng, std::uint64_t revision, std::uint64_t time_ms) {
  const auto pick = [&](const char* prefix, std::uint64_t n) {
    return prefix + std::to_string(rng.below(n));
  };
  if (rng.below(2) == 0) {
    const reserve r{pick("w", 2), pick("k", 4), rng.below(2), 1 + rng.below(6)};
    switch (rng.below(3)) {
    case 0:
      return pack_command(command_kind::reserve, r, time_ms);
    case 1:
      return pack_command(command_kind::complete,
                          complete{r.workspace, r.key, r.attempt, true, {200, "t", "body"}},
                          time_ms);
    default:
      return pack_command(command_kind::release, release{r.workspace, r.key, r.attempt}, time_ms);
    }
  }
  change_files c{pick("r", 200), revision - rng.below(2), "x", {}, {}};
  for (auto n = 1 + rng.below(3); n > 0; --n) {
    const auto name = pick("f", 4) + ".json";
    const auto entity = pick("e", 3);
    const auto service = pick("s", 2);
    const auto digest = std::string(64, static_cast<char>('a' + rng.below(3)));
    const auto prefix = rng.below(3) == 0 ? R"("/p/")" : R"("/)" + entity + "\"";
    const std::vector<std::string> contents = {
        service_file(service),
        R"({"services": {")" + service + R"(": null}})",
        R"({"routes": {")" + entity + R"(": {"service": ")" + service + R"(", "prefix": )" +
            prefix + "}}}",
        R"({"routes": {")" + entity + R"(": {"methods": ["GET"]}}})",
        R"({"routes": {")" + entity + R"(": null}})",
        R"({"workspaces": {")" + service + R"(": {"rate": 5}}})",
        R"({"keys": {")" + entity + R"(": {"workspace": ")" + service + R"(", "sha256": ")" +
            digest + "\"}}}",
        R"({"keys": {")" + entity + R"(": {"is_withdrawn": true}}})",
        "not json",
    };
    if (rng.below(6) == 0) {
      c.removed.push_back(name);
    } else {
      c.changed[name] = contents[rng.below(contents.size())];
    }
  }
  return pack_command(command_kind::change_files, c, time_ms);
}

} // namespace

// Guards against an incremental check that accepts what a restart would refuse, and against voters
// that differ after one of them restored a snapshot.
TEST_CASE("incremental changes equal a parse of the whole folder and survive a restore") {
  CHECK(rc::check("machine", [] {
    base::rng rng(*rc::gen::arbitrary<std::uint64_t>());
    std::string config = "{}";
    config::snapshot typed;
    machine m({}, [&](const delta& d) {
      if (!d.config.empty()) {
        RC_ASSERT(bool(typed.apply(nlohmann::json::parse(d.config))));
      }
    });
    machine other({});
    std::uint64_t time_ms = 0;
    for (int i = 0; i < 60; ++i) {
      time_ms += rng.below(20) == 0 ? day_ms / 2 : rng.below(1000);
      const auto payload = random_command(rng, m.revision(), time_ms);
      const auto c = *peer::unpack<command>(payload);
      auto files = m.configuration().files();
      const auto before = m.revision();
      const auto result = m.apply(payload);
      RC_ASSERT(other.apply(payload) == result);
      if (m.revision() > before) {
        const auto asked = *peer::unpack<change_files>(c.body);
        for (const auto& name : asked.removed) {
          files.erase(name);
        }
        for (const auto& [name, text] : asked.changed) {
          files[name] = text;
        }
        const auto whole = config::parse(files);
        RC_ASSERT(bool(whole));
        RC_ASSERT(m.configuration().files() == files);
        RC_ASSERT(m.configuration().merged() ==
                  config::make_delta(nlohmann::json::object(), config::merge(files).value()));
        RC_ASSERT(typed.routes().size() == whole.value().routes().size());
      }
      RC_ASSERT(m.revision() >= before);
      if (rng.below(10) == 0) {
        const auto saved = m.save();
        RC_ASSERT(other.save() == saved);
        RC_ASSERT(other.restore(saved));
        RC_ASSERT(other.save() == saved);
      }
    }
  }));
}

TEST_CASE("the incremental check refuses exactly what a parse of the whole folder refuses") {
  CHECK(rc::check("document", [] {
    base::rng rng(*rc::gen::arbitrary<std::uint64_t>());
    document d;
    for (int i = 0; i < 60; ++i) {
      const auto c = *peer::unpack<command>(random_command(rng, 1, 0));
      if (c.kind != command_kind::change_files) {
        continue;
      }
      const auto asked = *peer::unpack<change_files>(c.body);
      auto files = d.files();
      document::changes change;
      for (const auto& [name, text] : asked.changed) {
        change[name] = &text;
        files[name] = text;
      }
      RC_ASSERT(bool(d.apply(change)) == bool(config::parse(files)));
    }
  }));
}

// Guards against an instance that takes its state from another one and differs from it.
TEST_CASE("a typed configuration that is written and read again stays the same") {
  const std::string file =
      R"({"services": {"s": {"secret_sha256": ")" + secret +
      R"(", "floor": 0.1, "queue_limit": 3, "timeout_ms": 7, "health_path": "/h"}},
          "routes": {"r": {"service": "s", "prefix": "/p/", "host": "h", "methods": ["GET"],
                           "is_hedged": true, "class": "deferrable", "body_limit": 9}},
          "workspaces": {"w": {"rate": 0.3, "burst": 2, "weight": 0.7}},
          "keys": {"k": {"workspace": "w", "sha256": ")" +
      secret + R"(", "is_withdrawn": true}}})";
  const auto first = config::parse({{"10.json", file}}).value();
  config::snapshot second;
  const auto written = config::to_document(first).dump();
  REQUIRE(second.apply(nlohmann::json::parse(written)));
  CHECK(config::to_document(second).dump() == written);
  CHECK(second.routes().at("r")->priority == config::request_class::deferrable);
  CHECK(second.workspaces().at("w")->rate == 0.3);
  CHECK(second.keys().at("k")->is_withdrawn);
}
