#include <doctest/doctest.h>

#include "kingcupshunt/rates/owner.h"

using namespace kingcupshunt;
using base::milliseconds;
using base::seconds;

namespace {

const base::time_point start = base::time_point{} + seconds(1000);

membership::fleet_view view_of(std::uint64_t version, const std::vector<std::string>& active) {
  membership::fleet_view v;
  v.version = version;
  for (const std::string id : {"a", "b", "z"}) {
    const bool is_active = std::ranges::find(active, id) != active.end();
    v.members.push_back({id, "", "", "", is_active});
  }
  return v;
}

// Name of a workspace that z, a and b own in turn as the views lose z and then a.
std::string name_in_turn() {
  rates::owner_map all;
  rates::owner_map without_z;
  rates::owner_map without_za;
  all.set_view(view_of(1, {"a", "b", "z"}));
  without_z.set_view(view_of(1, {"a", "b"}));
  for (int i = 0;; ++i) {
    auto name = "w" + std::to_string(i);
    if (all.pick(name) == "z" && without_z.pick(name) == "a") {
      return name;
    }
  }
}

struct node {
  struct sent {
    std::string to;
    peer::message_kind kind;
    std::string body;
  };
  std::vector<sent> out;
  bool is_held = true;
  rates::owner owner;

  explicit node(const std::string& id)
      : owner({id, 7, 8}, {[this](auto to, auto kind, auto body) {
                             out.push_back({std::string(to), kind, std::move(body)});
                           },
                           [](auto) {
                             return std::optional(rates::limit{1, 20});
                           },
                           {},
                           [this](auto) { return is_held; },
                           {},
                           {}}) {}

  // Asks for tokens as instance "c" and returns the answer.
  rates::grant_item request(const std::string& workspace, std::uint32_t tokens, std::uint64_t seq,
                            base::time_point now, std::uint32_t held = 0) {
    out.clear();
    const rates::token_request frame{1, seq, 7, {{workspace, tokens, 0, held, 0, {}}}};
    owner.receive("c", peer::message_kind::rate_ask, peer::pack(frame), now);
    for (const auto& m : out) {
      const auto g = peer::unpack<rates::grant>(m.body);
      if (m.to == "c" && g && !g->items.empty()) {
        return g->items[0];
      }
    }
    return {};
  }

  void deliver_to(node& other, const std::string& from, base::time_point now) {
    for (const auto& m : std::exchange(out, {})) {
      if (m.kind == peer::message_kind::rate_ask) {
        other.owner.receive(from, m.kind, m.body, now);
      }
    }
  }
};

constexpr auto starting = static_cast<std::uint8_t>(rates::grant_status::starting);

// Owner a with a full bucket of which 10 tokens are outstanding at `start`.
struct two_owners {
  std::string w = name_in_turn();
  node a{"a"};
  node b{"b"};
  two_owners() {
    for (auto* n : {&a, &b}) {
      n->owner.set_view(view_of(1, {"a", "b"}), start - seconds(100));
    }
    CHECK(a.request(w, 10, 1, start).tokens == 10);
  }
  void change_view(base::time_point now) {
    a.out.clear();
    a.owner.set_view(view_of(2, {"b"}), now);
    b.owner.set_view(view_of(2, {"b"}), now);
  }
};

} // namespace

// Guards against accrual beyond the burst while the former owner's tokens can still be spent.
TEST_CASE("tokens that the former owner granted count until they expire") {
  two_owners run;
  run.change_view(start);
  run.a.deliver_to(run.b, "a", start);
  CHECK(run.b.request(run.w, 4, 1, start).tokens == 4);
  const auto* bucket = run.b.owner.find_bucket(run.w);
  REQUIRE(bucket != nullptr);
  CHECK(bucket->outstanding() == 14);
  run.b.owner.tick(start + milliseconds(1000));
  CHECK(bucket->level() + static_cast<double>(bucket->outstanding()) <= 20.0);
  CHECK(bucket->outstanding() == 14);
  run.b.owner.tick(start + milliseconds(1040));
  CHECK(bucket->outstanding() == 0);
  CHECK(bucket->level() == doctest::Approx(6));
}

// Guards against a handover that is used twice, late, or from another than the former owner.
TEST_CASE("a handover counts once and only from the former owner") {
  two_owners run;
  run.change_view(start);
  const auto frames = run.a.out;
  run.a.deliver_to(run.b, "z", start);
  CHECK(run.b.request(run.w, 1, 1, start + milliseconds(400)).status == starting);
  for (int i = 0; i < 2; ++i) {
    for (const auto& m : frames) {
      run.b.owner.receive("a", m.kind, m.body, start + milliseconds(400));
    }
  }
  CHECK(run.b.request(run.w, 20, 2, start + milliseconds(400)).tokens == 10);
  CHECK(run.b.request(run.w, 20, 3, start + milliseconds(400), 10).tokens == 0);
}

// Guards against two owners when the former one restarts before a majority holds the view.
TEST_CASE("a handover is not used before a majority holds the view") {
  two_owners run;
  run.b.is_held = false;
  run.change_view(start);
  run.a.deliver_to(run.b, "a", start);
  CHECK(run.b.request(run.w, 1, 1, start + milliseconds(10)).status == starting);
  run.b.is_held = true;
  CHECK(run.b.request(run.w, 1, 2, start + milliseconds(20)).tokens == 1);
}

// Guards against a former owner that hands over, restarts, and grants again in the old view.
TEST_CASE("a handover is not sent before a majority holds the view") {
  two_owners run;
  run.a.is_held = false;
  run.change_view(start);
  CHECK(run.a.out.empty());
  run.a.owner.tick(start + milliseconds(50));
  CHECK(run.a.out.empty());
  run.a.is_held = true;
  run.a.owner.tick(start + milliseconds(100));
  run.a.deliver_to(run.b, "a", start + milliseconds(100));
  CHECK(run.b.request(run.w, 1, 1, start + milliseconds(100)).tokens == 1);
}

// Guards against vouching for idle workspaces while tokens of an earlier owner may be out.
TEST_CASE("a former owner vouches only for workspaces whose wait has passed there") {
  const auto w = name_in_turn();
  for (const bool has_waited : {false, true}) {
    node a("a");
    node b("b");
    const auto moved = start + (has_waited ? seconds(10) : seconds(1));
    for (auto* n : {&a, &b}) {
      n->owner.set_view(view_of(1, {"a", "b", "z"}), start - seconds(100));
      n->owner.set_view(view_of(2, {"a", "b"}), start);
    }
    a.owner.set_view(view_of(3, {"b"}), moved);
    b.owner.set_view(view_of(3, {"b"}), moved);
    a.deliver_to(b, "a", moved);
    INFO("has waited " << has_waited);
    const auto answer = b.request(w, 1, 1, moved + milliseconds(1500));
    CHECK(answer.tokens == (has_waited ? 1 : 0));
    CHECK((answer.status == starting) == !has_waited);
  }
}

// Guards against a claim of a process that has itself just started.
TEST_CASE("an owner that has just started vouches for nothing") {
  const auto w = name_in_turn();
  node a("a");
  node b("b");
  a.owner.set_view(view_of(1, {"a", "b"}), start - seconds(1));
  b.owner.set_view(view_of(1, {"a", "b"}), start - seconds(100));
  a.owner.set_view(view_of(2, {"b"}), start);
  b.owner.set_view(view_of(2, {"b"}), start);
  a.deliver_to(b, "a", start);
  CHECK(b.request(w, 1, 1, start + milliseconds(1500)).status == starting);
}
