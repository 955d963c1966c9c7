#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <memory>

#include <nlohmann/json.hpp>

#include "kingcupshunt/fleet/control_core.h"
#include "kingcupshunt/fleet/entry_link.h"

using namespace kingcupshunt;
using namespace kingcupshunt::fleet;
using peer::message_kind;

namespace {

constexpr base::milliseconds step{10};

/// Control instances with disks that lose unsynced writes in a crash, and entries, over a network
/// that drops messages from and to the instances in `cut`.
struct fleet_with_disks {
  struct control {
    consensus::recovered_state disk;
    std::deque<consensus::write_batch> writes;
    std::optional<consensus::snapshot> saving;
    std::unique_ptr<document_log> log;
    std::unique_ptr<control_core> core;
    int disks = 1; ///< data folders that this instance has had
  };
  struct message {
    std::string from, to, body;
    message_kind kind{};
  };

  explicit fleet_with_disks(int n = 3) {
    for (int i = 1; i <= n; ++i) {
      ids.push_back("c" + std::to_string(i));
    }
    for (const auto& id : ids) {
      start(id);
    }
    start_entry("e1");
    run(base::seconds(4));
  }

  void start(const std::string& id) {
    auto& c = controls[id];
    control_settings settings;
    settings.self = id;
    settings.start = base::hash64(id) + ++starts;
    control_hooks hooks;
    hooks.send = sender(id);
    hooks.parse = [](const std::string& text) -> document_result<config::record_list> {
      return config::to_records(nlohmann::json::parse(text));
    };
    c.core = std::make_unique<control_core>(std::move(settings), std::move(hooks));
    for (const auto& other : ids) {
      c.core->add_control(other);
    }
    consensus::replica_settings replica;
    replica.self = {id, id + "-" + std::to_string(c.disks)};
    replica.initial_voters = c.disks == 1 ? ids : std::vector<std::string>{};
    replica.seed = base::hash64(id) + starts;
    replica.compaction_entries = 20;
    replica.kept_entries = 4;
    document_log_hooks log_hooks;
    log_hooks.send = sender(id);
    log_hooks.persist = [&c](consensus::write_batch b) { c.writes.push_back(std::move(b)); };
    log_hooks.save_snapshot = [&c](const consensus::snapshot& s) { c.saving = s; };
    log_hooks.on_document = [&c](const versioned_document& d) { c.core->on_document(d); };
    log_hooks.on_evacuations = [&c](const evacuation_set& e) { c.core->on_evacuations(e); };
    auto found = c.disk;
    std::erase_if(found.entries, [&](const auto& e) { return e.index <= found.base.index; });
    c.log = std::make_unique<document_log>(std::move(replica), std::move(log_hooks),
                                           std::move(found), now);
    c.core->set_log(c.log.get());
  }

  void crash(const std::string& id) {
    auto& c = controls[id];
    c.writes.clear();
    c.saving.reset();
    c.log.reset();
    c.core.reset();
  }

  void lose_disk(const std::string& id) {
    crash(id);
    controls[id].disk = {};
    ++controls[id].disks;
    start(id);
  }

  void start_entry(const std::string& id) {
    entry_link_settings s;
    s.self = id;
    s.entry_address = id + ":80";
    entry_link_hooks hooks;
    hooks.send = sender(id);
    hooks.is_ready = [] { return true; };
    hooks.is_leaving = [] { return false; };
    hooks.on_server = [](const server_record&) {};
    hooks.on_document = [](const config::snapshot&) {};
    hooks.on_controls = [] {};
    entries[id] = std::make_unique<entry_link>(std::move(s), std::move(hooks));
    entries[id]->set_seeds(ids);
  }

  peer::send_function sender(const std::string& from) {
    return [this, from](std::string_view to, message_kind kind, std::string body) {
      net.push_back({from, std::string(to), std::move(body), kind});
    };
  }

  void run(base::duration time) {
    for (const auto end = now + time; now < end;) {
      now += step;
      for (auto& m : std::exchange(net, {})) {
        deliver(m);
      }
      for (auto& [id, c] : controls) {
        if (!c.log) {
          continue;
        }
        sync(c);
        c.log->tick(now);
        c.core->tick(now);
      }
      for (auto& [id, e] : entries) {
        e->tick(now);
      }
    }
  }

  void sync(control& c) {
    while (!c.writes.empty()) {
      const auto b = std::move(c.writes.front());
      c.writes.pop_front();
      auto& all = c.disk.entries;
      if (b.reset) {
        all.clear();
      }
      if (b.truncate_from) {
        std::erase_if(all, [&](const auto& e) { return e.index >= *b.truncate_from; });
      }
      all.insert(all.end(), b.entries.begin(), b.entries.end());
      c.disk.state = b.state.value_or(c.disk.state);
      c.log->log().on_persisted(b.sequence, true, now);
    }
    if (auto saved = std::exchange(c.saving, std::nullopt)) {
      c.disk.base = *saved;
      c.log->log().on_snapshot_saved(saved->index, true, now);
    }
  }

  void deliver(const message& m) {
    if (cut.contains(m.from) || cut.contains(m.to)) {
      return;
    }
    if (const auto e = entries.find(m.to); e != entries.end()) {
      e->second->receive(m.from, m.kind, m.body, now);
    } else if (auto& c = controls[m.to]; c.log) {
      const bool is_of_log =
          m.kind >= message_kind::log_append && m.kind <= message_kind::log_timeout_now;
      if (is_of_log) {
        c.log->receive(m.from, m.kind, m.body, now);
      } else {
        c.core->receive(m.from, m.kind, m.body, now);
      }
    }
  }

  std::string leader() {
    for (auto& [id, c] : controls) {
      if (c.log && !cut.contains(id) && c.log->log().is_ready()) {
        return id;
      }
    }
    return "";
  }

  /// The result is empty until there is one.
  std::shared_ptr<std::optional<order_result>> order(const std::string& at, const std::string& name,
                                                     bool is_start) {
    auto out = std::make_shared<std::optional<order_result>>();
    controls.at(at).log->order(
        {name, is_start}, [out](order_result r) { *out = r; }, now);
    return out;
  }

  bool is_accepted(const std::string& name, bool is_start) {
    REQUIRE(!leader().empty());
    const auto result = order(leader(), name, is_start);
    run(base::milliseconds(200));
    return *result == order_result::accepted;
  }

  const evacuation_set& known(const std::string& entry) { return entries.at(entry)->evacuations(); }

  std::vector<std::string> ids;
  base::time_point now{base::seconds(1000)};
  std::map<std::string, control, std::less<>> controls;
  std::map<std::string, std::unique_ptr<entry_link>, std::less<>> entries;
  std::deque<message> net;
  std::set<std::string, std::less<>> cut;
  std::uint64_t starts = 0;
};

versioned_document document(std::uint64_t version) {
  return {version, R"({"services":{"fitting":{"secret_sha256":")" + std::string(64, '0') + "\"}}}"};
}

} // namespace

TEST_CASE("an order reaches the entries at once and its withdrawal too") {
  // Guards against an order that waits for the next question of an entry, 500 ms later.
  fleet_with_disks f;
  const auto result = f.order(f.leader(), "west", true);
  f.run(base::milliseconds(150));
  CHECK(*result == order_result::accepted);
  CHECK(f.known("e1").contains("west"));
  CHECK_FALSE(f.known("e1").contains("east"));
  CHECK(f.is_accepted("west", false));
  CHECK_FALSE(f.known("e1").contains("west"));
}

TEST_CASE("an order outlives a loss of power of all control instances") {
  // Guards against an order that is kept in memory only.
  fleet_with_disks f;
  REQUIRE(f.is_accepted("west", true));
  for (const auto& id : f.ids) {
    f.crash(id);
  }
  for (const auto& id : f.ids) {
    f.start(id);
  }
  f.start_entry("e2");
  f.run(base::seconds(4));
  CHECK(f.known("e2").contains("west"));
  for (const auto& id : f.ids) {
    CHECK(f.controls[id].core->evacuations().contains("west"));
  }
}

TEST_CASE("an order is in the snapshots, and outlives the loss of two of five disks") {
  // Guards against a snapshot that drops the orders when it replaces the log.
  fleet_with_disks f(5);
  REQUIRE(f.is_accepted("west", true));
  for (std::uint64_t version = 1; version <= 60; ++version) {
    f.controls[f.leader()].log->propose(
        document(version), [](bool) {}, f.now);
    f.run(base::milliseconds(50));
  }
  REQUIRE(f.controls["c1"].disk.base.index > 20);
  f.lose_disk("c1");
  f.lose_disk("c2");
  f.start_entry("e2");
  f.run(base::seconds(10));
  CHECK(f.known("e2").contains("west"));
  for (const auto& id : f.ids) {
    f.crash(id);
    f.start(id);
  }
  f.run(base::seconds(10));
  CHECK(f.controls["c1"].log->evacuations().contains("west"));
  CHECK(f.controls["c1"].log->current().version == 60);
}

TEST_CASE("an order outlives its leader, and the next leader continues its numbers") {
  // Guards against a number that is used twice, which entries would ignore.
  fleet_with_disks f;
  REQUIRE(f.is_accepted("west", true));
  const auto first = f.known("e1").number;
  f.crash(f.leader());
  f.run(base::seconds(6));
  CHECK(f.is_accepted("east", true));
  CHECK(f.known("e1").data_centres == std::vector<std::string>{"east", "west"});
  const auto second = f.known("e1").number;
  CHECK(second > first);
  CHECK(f.is_accepted("west", false));
  CHECK(f.known("e1").data_centres == std::vector<std::string>{"east"});
  CHECK(f.known("e1").number == second + 1);
}

TEST_CASE("an order that is resent is accepted again and changes nothing") {
  fleet_with_disks f;
  const auto first = f.order(f.leader(), "west", true);
  const auto while_pending = f.order(f.leader(), "west", true);
  CHECK_FALSE(while_pending->has_value()); // no majority holds it yet
  f.run(base::milliseconds(200));
  CHECK(*first == order_result::accepted);
  CHECK(*while_pending == order_result::accepted);
  const auto number = f.known("e1").number;
  CHECK(number == f.controls[f.leader()].log->log().last_index()); // one entry for both
  CHECK(f.is_accepted("west", true));
  CHECK(f.known("e1").number == number);
  CHECK(f.is_accepted("east", false)); // never ordered: in force already
  CHECK(f.known("e1").number == number);
}

TEST_CASE("start and finish that race take effect in the order in which they reach the leader") {
  // Guards against a second order that builds on the state before the first one.
  fleet_with_disks f;
  const auto leader = f.leader();
  const auto before = f.controls[leader].log->log().last_index();
  std::vector<std::shared_ptr<std::optional<order_result>>> results;
  results.push_back(f.order(leader, "west", true));
  results.push_back(f.order(leader, "east", true));
  results.push_back(f.order(leader, "west", false));
  f.run(base::milliseconds(300));
  for (const auto& r : results) {
    CHECK(*r == order_result::accepted);
  }
  CHECK(f.known("e1").data_centres == std::vector<std::string>{"east"});
  CHECK(f.known("e1").number == before + 3);
}

TEST_CASE(
    "a leader that was replaced without knowing it confirms no order that is in force there") {
  // Guards against an acknowledged start whose data centre is not evacuated: the other side has
  // accepted the finish meanwhile.
  fleet_with_disks f;
  REQUIRE(f.is_accepted("west", true));
  const auto former = f.leader();
  f.cut.insert(former);
  const auto resent = f.order(former, "west", true);
  f.run(base::seconds(6));
  CHECK(*resent == order_result::unknown);
  CHECK(f.is_accepted("west", false));
  f.cut.clear();
  f.run(base::seconds(3));
  CHECK_FALSE(f.known("e1").contains("west"));
  CHECK_FALSE(f.controls[former].core->evacuations().contains("west"));
}

TEST_CASE("a leader that was replaced without knowing it refuses no order for good") {
  // Guards against a 409, after which callers don't resend, though the other side has withdrawn an
  // evacuation meanwhile and has room for another.
  fleet_with_disks f;
  for (std::size_t i = 0; i < max_evacuations; ++i) {
    REQUIRE(f.is_accepted("dc-" + std::to_string(i), true));
  }
  const auto former = f.leader();
  f.cut.insert(former);
  const auto refused = f.order(former, "one-more", true);
  CHECK_FALSE(refused->has_value());
  f.run(base::seconds(6));
  CHECK(*refused == order_result::unknown);
  CHECK(f.is_accepted("dc-0", false));
  CHECK(f.is_accepted("one-more", true));
}

TEST_CASE("a caller may give the next order while an entry is applied") {
  // Guards against waiters that are not called when a callback adds to the log and to the waiters.
  fleet_with_disks f(1);
  auto& log = *f.controls["c1"].log;
  int accepted = 0;
  std::function<void(int)> give = [&](int left) {
    const auto name = "dc-" + std::to_string(left);
    log.order(
        {name, true},
        [&, left](order_result r) {
          accepted += r == order_result::accepted ? 1 : 0;
          if (left > 1) {
            give(left - 1);
          }
        },
        f.now);
  };
  give(40);
  f.run(base::seconds(4));
  CHECK(accepted == 40);
  CHECK(f.known("e1").data_centres.size() == 40);
}

TEST_CASE("an order during an election is not accepted, and is when it is resent after it") {
  fleet_with_disks f;
  f.crash(f.leader());
  for (const auto& [id, c] : f.controls) {
    if (c.log) {
      CHECK(*f.order(id, "west", true) == order_result::unknown);
    }
  }
  f.run(base::seconds(6));
  CHECK(f.known("e1").number == 0);
  CHECK(f.is_accepted("west", true));
  CHECK(f.known("e1").contains("west"));
}

TEST_CASE("the number and the names of evacuated data centres are bounded") {
  // Guards against a caller that fills the log entries, the answers and the snapshots.
  fleet_with_disks f;
  for (std::size_t i = 0; i < max_evacuations; ++i) {
    CHECK(f.is_accepted("unknown-" + std::to_string(i), true)); // no server is there yet
  }
  const auto refused = f.order(f.leader(), "one-more", true);
  f.run(base::milliseconds(200));
  CHECK(*refused == order_result::too_many);
  CHECK(f.is_accepted("unknown-3", true));
  CHECK(f.is_accepted("unknown-3", false));
  CHECK(f.is_accepted("one-more", true));
  CHECK(fault_of_data_centre("north-1").empty());
  CHECK_FALSE(fault_of_data_centre("").empty());
  CHECK(fault_of_data_centre("hall 2, s\xc3\xbc"
                             "d")
            .empty()); // a server may state it
  CHECK(max_data_centre_name == max_record_text_bytes);
  CHECK_FALSE(fault_of_data_centre("a\n").empty());
  // Names that are not UTF-8 can't be shown as JSON: a lone continuation, a cut sequence, an
  // overlong one, a surrogate, and a code point that is too high.
  for (const auto* name :
       {"\x80", "s\xc3", "\xc0\xaf", "\xe0\x80\xaf", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xff"}) {
    CHECK_FALSE(fault_of_data_centre(name).empty());
  }
  CHECK(fault_of_data_centre("\xe2\x82\xac \xf0\x9f\x98\x80").empty());
  CHECK_FALSE(fault_of_data_centre(std::string(max_data_centre_name + 1, 'a')).empty());
}

TEST_CASE("a snapshot and a log of a build without evacuations are read, and do not end one") {
  // Guards against an upgrade that starts without its configuration, and against a follower that
  // takes a snapshot of a leader of the former build.
  std::optional<document_log> log;
  int changes = 0;
  document_log_hooks hooks;
  hooks.send = [](std::string_view, message_kind, const std::string&) {};
  hooks.persist = [](const consensus::write_batch&) {};
  hooks.save_snapshot = [](const consensus::snapshot&) {};
  hooks.on_document = [](const versioned_document&) {};
  hooks.on_evacuations = [&](const evacuation_set&) { ++changes; };
  consensus::recovered_state disk;
  disk.base = {
      7, 1, {{{"c1", "d"}}, {}}, std::make_shared<const std::string>(peer::pack(document(5)))};
  consensus::replica_settings replica;
  replica.self = {"c1", "d"};
  log.emplace(std::move(replica), std::move(hooks), std::move(disk),
              base::time_point{base::seconds(1)});
  CHECK(log->current().version == 5);
  CHECK(log->evacuations().number == 0);
  CHECK(changes == 0);

  fleet_with_disks f;
  f.controls[f.leader()].log->propose(
      document(5), [](bool) {}, f.now);
  REQUIRE(f.is_accepted("west", true));
  CHECK(f.controls["c1"].log->current().version == 5);
  CHECK(f.controls["c1"].log->evacuations().contains("west"));
}

namespace {

/// A fleet in which `west` is evacuated, and whose instance `changed` was run by the former build:
/// that one has compacted its log past the order into a snapshot without a set. It leads again.
struct fleet_after_former_build : fleet_with_disks {
  fleet_after_former_build() {
    REQUIRE(is_accepted("west", true));
    former_number = known("e1").number;
    run(base::seconds(1));
    changed = leader();
    auto& c = controls[changed];
    const auto& replica = c.log->log();
    c.disk.base = {replica.applied_index(), replica.term(), replica.voters(),
                   std::make_shared<const std::string>(peer::pack(document(0)))};
    do {
      REQUIRE(++elections < 50);
      for (const auto& id : ids) {
        crash(id);
      }
      for (const auto& id : ids) {
        start(id);
      }
      run(base::seconds(4));
    } while (leader() != changed);
  }

  std::string changed;
  std::uint64_t former_number = 0;
  int elections = 0;
};

} // namespace

TEST_CASE("a leader without the set that entries know accepts no order") {
  // Guards against a start of another data centre that ends the evacuation of the first one.
  fleet_after_former_build f;
  REQUIRE(f.controls[f.changed].log->evacuations().number == 0);
  f.run(base::seconds(1));
  CHECK(*f.order(f.changed, "east", true) == order_result::unknown);
  CHECK(*f.order(f.changed, "west", false) == order_result::unknown);
  CHECK(f.known("e1").contains("west"));
  f.crash(f.changed);
  f.run(base::seconds(6));
  CHECK(f.is_accepted("east", true)); // the next leader has the set
  CHECK(f.known("e1").data_centres == std::vector<std::string>{"east", "west"});
}

TEST_CASE("an order of a leader that lost its set in the former build reaches all") {
  // Guards against a number counted up from the leader's own set, which voters and entries with a
  // higher number drop, and against a finish that such a leader takes for one already in force.
  fleet_after_former_build f;
  REQUIRE(f.controls[f.changed].log->evacuations().number == 0);
  f.cut.insert("e1"); // no entry names a number
  f.run(base::seconds(3));
  REQUIRE(f.leader() == f.changed);
  REQUIRE(f.is_accepted("west", false));
  f.cut.clear();
  f.run(base::seconds(2));
  CHECK_FALSE(f.known("e1").contains("west"));
  CHECK(f.known("e1").number > f.former_number);
  for (const auto& id : f.ids) {
    CHECK(f.controls[id].log->evacuations() == f.known("e1"));
  }
}

TEST_CASE("a build without evacuations takes an order for a document that is overtaken") {
  // The former build decodes entries and snapshots as versioned_document.
  const auto entry = peer::unpack<versioned_document>(peer::pack(evacuation_entry{{4, {"west"}}}));
  REQUIRE(entry);
  CHECK(entry->version == 0);
  const auto snapshot =
      peer::unpack<versioned_document>(peer::pack(register_content{5, "text", {4, {"west"}}}));
  REQUIRE(snapshot);
  CHECK(snapshot->version == 5);
  CHECK(snapshot->text == "text");
}

namespace {

/// An entry whose control instances the test plays.
struct lone_entry {
  lone_entry() {
    entry_link_settings s;
    s.lease = base::seconds(3600); // the end of the lease is compared, not waited for
    entry_link_hooks hooks;
    hooks.send = [this](std::string_view, message_kind kind, const std::string& body) {
      if (kind == message_kind::entry_ask) {
        asked = peer::unpack<entry_ask>(body)->sequence;
      }
    };
    hooks.is_ready = hooks.is_leaving = [] { return false; };
    hooks.on_server = [](const server_record&) {};
    hooks.on_document = [](const config::snapshot&) {};
    hooks.on_controls = [] {};
    link = std::make_unique<entry_link>(std::move(s), std::move(hooks));
    link->set_seeds({"c1", "c2", "c3"});
  }

  void ask() {
    now += base::seconds(1);
    link->tick(now);
  }

  void answer(const std::string& from, std::uint64_t held, std::uint64_t applied,
              evacuation_set evacuations, bool knows = true) {
    entry_answer a;
    a.sequence = asked;
    a.is_voter = true;
    a.held = held;
    a.applied = applied;
    a.voters = {"c1", "c2", "c3"};
    a.voters_index = 1;
    a.knows_evacuations = knows;
    a.evacuations = std::move(evacuations);
    link->receive(from, message_kind::entry_answer, peer::pack(a), now);
  }

  std::unique_ptr<entry_link> link;
  std::uint64_t asked = 0;
  base::time_point now{base::seconds(1000)};
};

} // namespace

TEST_CASE("the lease of an entry is not prolonged while a majority holds an order it misses") {
  // Guards against an entry that goes on as fresh after an acknowledged order did not reach it.
  lone_entry e;
  e.ask();
  for (const auto* id : {"c1", "c2", "c3"}) {
    e.answer(id, 5, 5, {});
  }
  const auto until = e.link->lease().valid_until();
  CHECK(e.link->is_fresh());
  e.ask();
  e.answer("c1", 6, 5, {}); // hold the order and don't know yet that it is committed
  e.answer("c2", 6, 5, {});
  e.answer("c3", 5, 5, {});
  CHECK(e.link->lease().valid_until() == until);
  e.ask();
  e.answer("c1", 6, 6, {1, {"west"}});
  e.answer("c2", 6, 6, {1, {"west"}});
  CHECK(e.link->evacuations().contains("west"));
  CHECK(e.link->lease().valid_until() > until);
  CHECK(e.link->lease().applied() == 6);
}

TEST_CASE("a configuration that comes before the order that precedes it proves no freshness") {
  // Guards against a log index that covers an order of which only the configuration's message says
  // that there is one.
  lone_entry e;
  document_content content;
  content.applied = 9;
  content.version = 1;
  content.text = document(1).text;
  content.knows_evacuations = true;
  content.evacuations = 1;
  e.link->receive("c1", message_kind::document_content, peer::pack(content), e.now);
  CHECK(e.link->version() == 1);
  CHECK(e.link->lease().applied() == 0);
}

TEST_CASE("an entry without contact keeps the last evacuations it knows") {
  fleet_with_disks f;
  REQUIRE(f.is_accepted("west", true));
  f.cut.insert("e1");
  REQUIRE(f.is_accepted("west", false));
  f.run(base::seconds(10));
  CHECK(f.known("e1").contains("west"));
  f.cut.clear();
  f.run(base::seconds(1));
  CHECK_FALSE(f.known("e1").contains("west"));
}

TEST_CASE("a lagging control instance reverts no order") {
  lone_entry e;
  e.ask();
  e.answer("c1", 7, 7, {2, {"east", "west"}});
  e.answer("c2", 6, 6, {1, {"west"}});
  CHECK(e.link->evacuations().number == 2);
  CHECK(e.link->lease().applied() == 7);
}

TEST_CASE(
    "the log index of a build that ignores orders counts only where no other build is heard") {
  // Guards against an entry that is fresh at the index of an order which its control instance has
  // ignored; and against a fleet of the former build, or one that returns to it, without leases.
  lone_entry e;
  e.ask();
  e.answer("c1", 5, 5, {}, false);
  CHECK(e.link->lease().applied() == 5);
  e.answer("c2", 6, 6, {});
  e.answer("c3", 7, 7, {}, false); // no order was ever given
  CHECK(e.link->lease().applied() == 7);
  e.ask();
  e.answer("c2", 8, 8, {1, {"west"}});
  e.ask();
  e.answer("c1", 9, 9, {}, false);
  CHECK(e.link->lease().applied() == 8);
  for (int i = 0; i < 3; ++i) { // all have returned to the former build
    e.ask();
    e.answer("c1", 9, 9, {}, false);
  }
  CHECK(e.link->lease().applied() == 9);
}

TEST_CASE("callers are not given the address of an entry that ended 6 s ago") {
  // Guards against addresses that outlive their entry: it ends without a word, then with one
  // message that was late.
  fleet_with_disks f;
  f.start_entry("e2");
  f.run(base::seconds(2));
  for (const auto& id : f.ids) {
    CHECK(f.controls[id].core->entry_addresses(f.now).size() == 2);
  }
  f.entries.erase("e2");
  f.run(base::seconds(6));
  for (const auto& id : f.ids) {
    CHECK(f.controls[id].core->entry_addresses(f.now) == std::vector<std::string>{"e1:80"});
  }
}
