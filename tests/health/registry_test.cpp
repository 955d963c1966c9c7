#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <memory>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/health/registry.h"

using namespace kingcupshunt;
using namespace std::chrono_literals;

namespace {

struct message {
  std::string from;
  std::string to;
  peer::message_kind kind;
  std::string body;
};

// Several registries joined by a network that can lose messages.
struct fleet {
  explicit fleet(int n) {
    for (int i = 0; i < n; ++i) {
      view.members.push_back({"i" + std::to_string(10 + i), "dc", "", "", true});
    }
    for (const auto& member : view.members) {
      health::registry_settings settings;
      settings.self = member.id;
      settings.seed = base::hash64(member.id);
      health::registry_hooks hooks;
      hooks.send = [this, self = member.id](std::string_view to, peer::message_kind kind,
                                            std::string body) {
        queue.push_back({self, std::string(to), kind, std::move(body)});
      };
      nodes[member.id] = std::make_unique<health::registry>(settings, hooks);
      nodes[member.id]->set_view(view, now);
    }
  }

  void run(base::duration d) {
    for (const auto end = now + d; now < end; now += 50ms) {
      deliver();
      for (auto& [id, node] : nodes) {
        node->tick(now);
      }
      deliver();
    }
  }

  void deliver() {
    while (!queue.empty()) {
      const auto m = std::move(queue.front());
      queue.pop_front();
      if (nodes.contains(m.to) && nodes.contains(m.from) && !(is_lost && is_lost(m))) {
        nodes[m.to]->receive(m.from, m.kind, m.body, now);
      }
    }
  }

  std::size_t holder_count(const std::string& service) const {
    std::size_t n = 0;
    for (const auto& [id, node] : nodes) {
      n += node->upstreams(service).empty() ? 0 : 1;
    }
    return n;
  }

  base::time_point now{1000s};
  membership::fleet_view view;
  std::map<std::string, std::unique_ptr<health::registry>> nodes;
  std::deque<message> queue;
  std::function<bool(const message&)> is_lost;
};

health::announcement make_announcement(const std::string& id = "127.0.0.1:9001") {
  return {"fitting", id, "dc", 3, false, 1, 0};
}

} // namespace

// Guards against an announcement that exists only on the instance that received it.
TEST_CASE("an announcement outlives the instance that received it") {
  fleet f(15);
  f.nodes["i10"]->announce(make_announcement(), f.now);
  f.deliver();
  f.nodes.erase("i10");
  f.run(100ms);
  CHECK(f.holder_count("fitting") == 14);
}

// Guards against new work for a leaving server after a lost message (I9).
TEST_CASE("a draining server is known everywhere within 2 s although each message may be lost") {
  fleet f(15);
  f.nodes["i10"]->announce(make_announcement(), f.now);
  f.run(500ms);
  int losses = 14;
  f.is_lost = [&](const message& m) { return m.from == "i10" && losses-- > 0; };
  auto draining = make_announcement();
  draining.is_draining = true;
  f.nodes["i10"]->announce(draining, f.now);
  f.run(1900ms);
  for (const auto& [id, node] : f.nodes) {
    REQUIRE(node->upstreams("fitting").size() == 1);
    CHECK(node->upstreams("fitting")[0].info.is_draining);
  }
}

// Guards against a drain undone by a renewal that another instance numbered equally.
TEST_CASE("draining is final within an incarnation") {
  fleet f(3);
  auto draining = make_announcement();
  draining.is_draining = true;
  f.nodes["i10"]->announce(draining, f.now);
  f.run(100ms);
  f.nodes["i11"]->announce(make_announcement(), f.now);
  f.run(100ms);
  CHECK(f.nodes["i12"]->upstreams("fitting")[0].info.is_draining);
  auto restarted = make_announcement();
  restarted.incarnation = 2;
  f.nodes["i11"]->announce(restarted, f.now);
  f.run(100ms);
  CHECK_FALSE(f.nodes["i12"]->upstreams("fitting")[0].info.is_draining);
}

// Guards against servers that stay listed after they died, and against late copies.
TEST_CASE("an expired server leaves and a late message does not revive it") {
  fleet f(3);
  health::registry_update late;
  late.records.push_back({make_announcement(), 0});
  late.records[0].info.sequence = 1;
  f.nodes["i10"]->announce(make_announcement(), f.now);
  for (int i = 0; i < 5; ++i) {
    f.nodes["i10"]->announce(make_announcement("127.0.0.1:9002"), f.now);
    f.run(1s);
  }
  CHECK(f.nodes["i11"]->upstreams("fitting").size() == 1);
  late.records[0].age_ms = 5000;
  f.nodes["i11"]->receive("i10", peer::message_kind::registry_update, peer::pack(late), f.now);
  CHECK(f.nodes["i11"]->upstreams("fitting").size() == 1);
}

// Guards against an instance that is cut off and loses every server at once.
TEST_CASE("the last known servers stay as a last resort and leave when a live one appears") {
  fleet f(3);
  f.nodes["i10"]->announce(make_announcement(), f.now);
  f.nodes["i10"]->announce(make_announcement("127.0.0.1:9002"), f.now);
  f.run(5s);
  REQUIRE(f.nodes["i11"]->upstreams("fitting").size() == 2);
  CHECK(f.nodes["i11"]->upstreams("fitting")[0].is_stale);
  f.nodes["i10"]->announce(make_announcement(), f.now);
  f.run(100ms);
  REQUIRE(f.nodes["i11"]->upstreams("fitting").size() == 1);
  CHECK_FALSE(f.nodes["i11"]->upstreams("fitting")[0].is_stale);
}

// Guards against announcements ignored because a restarted instance numbers them from 1.
TEST_CASE("a restarted instance's announcements count again") {
  fleet f(3);
  for (int i = 0; i < 20; ++i) {
    f.nodes["i10"]->announce(make_announcement(), f.now);
    f.run(200ms);
  }
  health::registry_hooks hooks;
  hooks.send = [&f](std::string_view to, peer::message_kind kind, std::string body) {
    f.queue.push_back({"i11", std::string(to), kind, std::move(body)});
  };
  health::registry_settings settings;
  settings.self = "i11";
  f.nodes["i11"] = std::make_unique<health::registry>(settings, hooks);
  f.nodes["i11"]->set_view(f.view, f.now);
  for (int i = 0; i < 6; ++i) {
    f.nodes["i11"]->announce(make_announcement(), f.now);
    f.run(1s);
  }
  CHECK(f.holder_count("fitting") == 3);
  CHECK_FALSE(f.nodes["i12"]->upstreams("fitting")[0].is_stale);
}

// Guards against crashes and changes by bytes that are no message.
TEST_CASE("a malformed message changes nothing and is counted") {
  fleet f(2);
  f.nodes["i10"]->receive("i11", peer::message_kind::registry_update, "\xff\x00", f.now);
  f.nodes["i10"]->receive("i11", peer::message_kind::registry_digest, "", f.now);
  CHECK(f.nodes["i10"]->malformed_count() == 2);
  CHECK(f.nodes["i10"]->services().empty());
}
