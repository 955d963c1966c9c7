// Documents that do not fit into one message between instances, or into one entry of the log.

#include <doctest/doctest.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "small_fleet.h"

using namespace test;

namespace {

base::sha256_digest key_hash(int i) {
  return base::sha256("key-" + std::to_string(i));
}

/// The document that a short text stands for, as the adapter of a platform makes long hashes of
/// short keys.
config::record_list expand(const std::string& text) {
  const auto all = nlohmann::json::parse(text);
  const std::string secret(64, '0');
  const std::string service = all.at("service");
  config::record_list out;
  out.push_back(
      config::make_record(config::record_kind::service, service, {{"secret_sha256", secret}}));
  for (int i = 0; i < all.value("routes", 0); ++i) {
    const auto name = "route-" + std::to_string(i);
    out.push_back(config::make_record(
        config::record_kind::route, name,
        {{"service", service}, {"prefix", "/" + name + "/"}, {"kind", "repeatable"}}));
  }
  for (int i = all.value("first_key", 0); i < all.value("keys", 0); ++i) {
    const auto workspace = "workspace-" + std::to_string(i % 88);
    out.push_back(config::make_issued_key(key_hash(i), workspace));
    out.push_back(config::make_record(config::record_kind::workspace, workspace, {{"rate", 50}}));
  }
  config::normalize(out);
  return out;
}

versioned_document described(std::uint64_t version, const nlohmann::json& content) {
  return {version, content.dump()};
}

/// A fleet that expands its documents.
struct expanding_fleet : small_fleet {
  expanding_fleet() {
    parse = expand;
    run(base::seconds(4));
  }

  std::optional<bool> change(const versioned_document& document) {
    const auto answer = propose(*this, document);
    run(base::milliseconds(200));
    return *answer;
  }

  bool accepts_key(int i) const {
    const auto key = entry->configuration().find_key(key_hash(i));
    return key && !key->is_withdrawn;
  }
};

std::size_t whole_size(const nlohmann::json& content) {
  return pack_document(1, 0, expand(content.dump())).bytes.size();
}

} // namespace

// Guards against a document that is acknowledged and in force nowhere, since the message that holds
// it exceeds a frame and is dropped (review/6).
TEST_CASE("a document that is too long for one message takes effect at the entries") {
  expanding_fleet f;
  REQUIRE(f.change(described(1, {{"service", "old"}, {"keys", 176}})) == true);
  REQUIRE(f.entry->version() == 1);
  REQUIRE(f.change(described(2, {{"service", "new"}, {"keys", 6600}})) == true);
  f.run(base::seconds(1));
  CHECK(f.entry->version() == 2);
  CHECK(f.entry->is_fresh());
  CHECK(f.entry->configuration().find_service("new") != nullptr);
  CHECK(f.entry->configuration().find_service("old") == nullptr);
  CHECK(f.accepts_key(0));
  CHECK(f.accepts_key(6599));
  CHECK(!f.accepts_key(6600));
  CHECK(f.dropped_as_too_large == 0);
}

// Guards against a bound that the sizes which operators need exceed, and against an entry that
// starts anew and finds no way to the whole document.
TEST_CASE("50,000 keys and 10,000 routes are in force within a second, also at a new entry") {
  expanding_fleet f;
  REQUIRE(f.change(described(1, {{"service", "s"}, {"keys", 50'000}, {"routes", 10'000}})) == true);
  f.run(base::seconds(1));
  CHECK(f.entry->version() == 1);
  CHECK(f.accepts_key(49'999));
  CHECK(f.entry->configuration().find_route("", "GET", "/route-9999/x") != nullptr);
  f.make_entry();
  f.run(base::seconds(2));
  CHECK(f.entry->version() == 1);
  CHECK(f.entry->is_fresh());
  CHECK(f.accepts_key(49'999));
  CHECK(f.entry->configuration().issued_keys().size() == 50'000);
  CHECK(f.dropped_as_too_large == 0);
}

// Guards against a document whose changes fit into messages one by one, and which no instance that
// starts anew can fetch.
TEST_CASE("keys that were added in many steps reach an entry that starts anew") {
  expanding_fleet f;
  for (int step = 1; step <= 13; ++step) {
    REQUIRE(f.change(described(static_cast<std::uint64_t>(step),
                               {{"service", "s"}, {"keys", 880 * step}})) == true);
  }
  f.run(base::seconds(1));
  CHECK(f.entry->version() == 13);
  f.make_entry();
  CHECK(!f.entry->has_document());
  f.run(base::seconds(2));
  CHECK(f.entry->version() == 13);
  CHECK(f.entry->is_fresh());
  CHECK(f.accepts_key(880 * 13 - 1));
}

// Guards against a fetch that starts over with each cut, and so never ends on a slow path.
TEST_CASE("a fetch goes on at another control instance where it was cut") {
  const nlohmann::json content = {{"service", "s"}, {"keys", 50'000}};
  expanding_fleet f;
  std::map<std::string, std::size_t> sent;
  f.change_message = [&](small_fleet::message& m) {
    if (m.kind == message_kind::document_piece) {
      sent[m.from] += peer::unpack<document_piece>(m.body)->data.size();
    }
  };
  propose(f, described(1, content));
  std::string source;
  const auto is_half_done = [&] {
    for (const auto& [from, bytes] : sent) {
      if (bytes > whole_size(content) / 2) {
        source = from;
        return true;
      }
    }
    return false;
  };
  for (int i = 0; i < 300 && !is_half_done(); ++i) {
    f.run(step);
  }
  REQUIRE(!source.empty());
  REQUIRE(f.entry->version() == 0);
  f.cut.insert(source);
  f.run(base::seconds(2));
  CHECK(f.entry->version() == 1);
  CHECK(f.accepts_key(49'999));
  std::size_t total = 0;
  for (const auto& [from, bytes] : sent) {
    total += bytes;
  }
  CHECK(total <= whole_size(content) + 4 * document_piece_bytes);
}

// Guards against a path on which each answer takes longer than the entry waits for it, so that the
// entry asks again and never takes one.
TEST_CASE("a fetch makes progress where each answer is later than the time-out") {
  expanding_fleet f;
  std::deque<std::pair<base::time_point, small_fleet::message>> late;
  f.change_message = [&](small_fleet::message& m) {
    if (m.kind == message_kind::document_piece) {
      late.emplace_back(f.now + base::milliseconds(700), m);
      m.to = "nobody";
    }
  };
  propose(f, described(1, {{"service", "s"}, {"keys", 20'000}}));
  for (int i = 0; i < 700 && f.entry->version() == 0; ++i) {
    f.run(step);
    while (!late.empty() && late.front().first <= f.now) {
      const auto m = std::move(late.front().second);
      late.pop_front();
      f.entry->receive(m.from, m.kind, m.body, f.now);
    }
  }
  CHECK(f.entry->version() == 1);
  CHECK(f.accepts_key(19'999));
}

// Guards against changes in quick succession that make a fetch start over each time.
TEST_CASE("a newer version that comes during a fetch is fetched as changes after it") {
  const nlohmann::json content = {{"service", "s"}, {"keys", 50'000}};
  expanding_fleet f;
  std::size_t sent = 0;
  f.change_message = [&](small_fleet::message& m) {
    if (m.kind == message_kind::document_piece) {
      sent += peer::unpack<document_piece>(m.body)->data.size();
    }
  };
  propose(f, described(1, content));
  std::uint64_t version = 1;
  for (int i = 0; i < 40; ++i) {
    f.run(base::milliseconds(50));
    auto next = content;
    next["first_key"] = ++version;
    propose(f, described(version, next));
  }
  f.run(base::seconds(1));
  CHECK(f.entry->version() == version);
  CHECK(!f.accepts_key(static_cast<int>(version) - 1));
  CHECK(f.accepts_key(static_cast<int>(version)));
  CHECK(sent < 2 * whole_size(content));
}

// Guards against bytes that changed on the way and are put in force.
TEST_CASE("a document whose hash disagrees is not put in force and is fetched again") {
  expanding_fleet f;
  int damaged = 0;
  f.change_message = [&](small_fleet::message& m) {
    if (m.kind == message_kind::document_piece && ++damaged <= 3) {
      auto piece = *peer::unpack<document_piece>(m.body);
      if (!piece.data.empty()) {
        piece.data.back() = static_cast<char>(piece.data.back() ^ 1);
        m.body = peer::pack(piece);
      }
    }
  };
  REQUIRE(f.change(described(1, {{"service", "s"}, {"keys", 6600}})) == true);
  f.run(base::seconds(3));
  CHECK(f.count_events("document_damaged") > 0);
  CHECK(f.entry->version() == 1);
  CHECK(f.accepts_key(6599));
}

// Guards against a sender that names a size for which the receiver would take all its memory.
TEST_CASE("an entry refuses a piece of a document beyond the bound") {
  small_fleet f;
  f.run(base::seconds(4));
  f.entry->receive("c1", message_kind::commit_notice, peer::pack(commit_notice{5, {}}), f.now);
  for (const auto& [size, content_size] : std::vector<std::pair<std::uint64_t, std::uint64_t>>{
           {1ULL << 60U, 1000}, {1000, 1ULL << 60U}, {1000, max_document_bytes + 1}}) {
    document_piece piece;
    piece.version = 5;
    piece.hash = "x";
    piece.size = size;
    piece.content_size = content_size;
    piece.data = "data";
    f.entry->receive("c1", message_kind::document_piece, peer::pack(piece), f.now);
    f.entry->receive("c1", message_kind::commit_notice, peer::pack(commit_notice{5, {}}), f.now);
  }
  CHECK(f.count_events("document_piece_refused") == 3);
  CHECK(f.entry->version() == 0);
}

// Guards against a leader that names a snapshot for which the receiver would take all its memory.
TEST_CASE("a control instance receives no snapshot beyond the bound") {
  small_fleet f;
  f.run(base::seconds(4));
  const auto leader = f.leader().log().leader();
  auto& follower = *f.controls.at(leader == "c1" ? "c2" : "c1").log;
  consensus::snapshot_chunk chunk;
  chunk.term = f.leader().log().term();
  chunk.index = 1000;
  chunk.size = 3 * max_document_bytes;
  chunk.data = "data";
  const auto malformed = follower.log().malformed_messages();
  follower.receive(leader, message_kind::log_snapshot_chunk, peer::pack(chunk), f.now);
  CHECK(follower.log().malformed_messages() == malformed + 1);
  chunk.size = 2 * max_document_bytes;
  follower.receive(leader, message_kind::log_snapshot_chunk, peer::pack(chunk), f.now);
  CHECK(follower.log().malformed_messages() == malformed + 1);
}

TEST_CASE("a document of several log entries is accepted, and whole on all control instances") {
  small_fleet f;
  f.run(base::seconds(4));
  const auto large = padded(document(1, "fitting"), 3'000'000);
  auto accepted = propose(f, large);
  f.run(base::seconds(1));
  CHECK(*accepted == true);
  for (const auto& [id, c] : f.controls) {
    CHECK(c.log->current().version == 1);
    CHECK(c.log->current().text == large.text);
  }
  CHECK(f.entry->version() == 1);
  CHECK(f.entry->is_fresh());
  CHECK(f.dropped_as_too_large == 0);
}

// Guards against an entry that takes the log index of a control instance for proof that its
// document is the newest, while that instance still parses a newer one.
TEST_CASE("a lease is not renewed by instances that have yet to put a document in force") {
  small_fleet f;
  f.run(base::seconds(4));
  propose(f, document(1, "fitting"));
  f.run(base::seconds(1));
  REQUIRE(f.entry->version() == 1);
  const auto applied = f.entry->lease().applied();
  f.holds_aside = true;
  const auto large = padded(document(2, "orders"), max_inline_text_bytes);
  auto accepted = propose(f, large);
  f.run(base::seconds(1));
  CHECK(*accepted == true);
  CHECK(f.entry->version() == 1);
  CHECK(f.entry->lease().applied() == applied);
  f.holds_aside = false;
  f.run(base::seconds(1));
  CHECK(f.entry->version() == 2);
  CHECK(f.entry->lease().applied() > applied);
  CHECK(f.entry->is_fresh());
}

// Guards against a log that is opened again, and names its documents again, while one is parsed.
TEST_CASE("a document that is parsed after a newer one does not take its place") {
  small_fleet f;
  f.run(base::seconds(4));
  auto& core = *f.controls.at("c1").core;
  f.holds_aside = true;
  core.on_document(padded(document(5, "fitting"), max_inline_text_bytes));
  f.run(step);
  core.on_document(padded(document(4, "orders"), max_inline_text_bytes));
  f.holds_aside = false;
  f.run(base::milliseconds(100));
  f.net.clear();
  core.receive("e9", message_kind::entry_ask, peer::pack(entry_ask{}), f.now);
  REQUIRE(!f.net.empty());
  const auto answer = peer::unpack<entry_answer>(f.net.back().body);
  REQUIRE(answer);
  CHECK(answer->document == 5);
}

// Guards against the beginning of a document that a leader left unfinished.
TEST_CASE("a document of which only some entries survive is not in force and can be sent again") {
  small_fleet f;
  f.run(base::seconds(4));
  REQUIRE(f.leader().log().is_leader());
  const auto former = f.leader().log().leader();
  const auto large = padded(document(1, "fitting"), 3'000'000);
  auto accepted = propose(f, large);
  f.run(3 * step); // the others have the first entries
  f.cut.insert(former);
  f.run(base::seconds(5));
  CHECK(*accepted != true);
  CHECK(f.leader().current().version == 0);
  accepted = propose(f, large);
  f.run(base::seconds(1));
  CHECK(*accepted == true);
  CHECK(f.leader().current().text == large.text);
  f.cut.clear();
  f.run(base::seconds(3));
  CHECK(f.controls.at(former).log->current().text == large.text);
}

// Guards against a voter of an earlier build that would skip the parts of a document, and take the
// former one for the newest.
TEST_CASE("no document of several entries is proposed while an earlier build answers the leader") {
  small_fleet f;
  f.run(base::seconds(4));
  const auto former = f.leader().log().leader() == "c3" ? "c1" : "c3";
  f.change_message = [&](small_fleet::message& m) {
    if (m.from == former && m.kind == message_kind::log_append_answer) {
      auto answer = *peer::unpack<consensus::append_answer>(m.body);
      answer.format = 0;
      m.body = peer::pack(answer);
    }
  };
  f.run(base::seconds(1));
  const auto large = padded(document(1, "fitting"), 3'000'000);
  auto accepted = propose(f, large);
  CHECK(*accepted == false);
  accepted = propose(f, document(2, "fitting"));
  f.run(base::seconds(1));
  CHECK(*accepted == true);
  CHECK(f.entry->version() == 2);
}

// Guards against an entry that takes the answers of such a voter for proof that its document is the
// newest.
TEST_CASE("answers of an earlier build don't renew the lease while documents may come in parts") {
  small_fleet f;
  f.run(base::seconds(4));
  propose(f, document(1, "fitting"));
  f.run(base::seconds(1));
  REQUIRE(f.entry->version() == 1);
  f.change_message = [&](small_fleet::message& m) {
    if (m.kind != message_kind::entry_answer) {
      return;
    }
    auto answer = *peer::unpack<entry_answer>(m.body);
    answer.applied += 100;
    answer.format = m.from == "c1" ? 0 : format_with_parts;
    answer.document = m.from == "c1" ? 1 : 9;
    m.body = peer::pack(answer);
  };
  const auto before = f.entry->lease().applied();
  f.run(base::seconds(1));
  CHECK(f.entry->lease().applied() == before);
}

// Guards against fleets in which some instances run the earlier build.
TEST_CASE("an earlier build gets a document that fits into a message, else there is a log line") {
  expanding_fleet f;
  const auto ask = [&] {
    f.net.clear();
    f.controls.at("c1").core->receive("e9", message_kind::entry_ask, peer::pack(entry_ask{}),
                                      f.now);
    f.controls.at("c1").core->receive("e9", message_kind::document_fetch,
                                      peer::pack(document_fetch{0, true}), f.now);
    for (const auto& m : f.net) {
      if (m.kind == message_kind::document_content) {
        return peer::unpack<document_content>(m.body);
      }
    }
    return std::optional<document_content>();
  };
  REQUIRE(f.change(described(1, {{"service", "s"}, {"keys", 100}})) == true);
  const auto whole = ask();
  REQUIRE(whole);
  CHECK(whole->version == 1);
  CHECK(nlohmann::json::parse(whole->text)["keys"].size() == 100);
  REQUIRE(f.change(described(2, {{"service", "s"}, {"keys", 20'000}})) == true);
  CHECK(!ask());
  CHECK(!ask());
  CHECK(f.count_events("document_not_sent to=e9 version=2 bytes=") == 1);
  CHECK(f.dropped_as_too_large == 0);
}

// Guards against a key that an entry learned from an earlier build and that stays in force when a
// later one sends its withdrawal.
TEST_CASE("keys of a document in one message are withdrawn by changes that come in pieces") {
  expanding_fleet f;
  f.change_message = [](small_fleet::message& m) {
    if (m.kind == message_kind::document_fetch) {
      auto fetch = *peer::unpack<document_fetch>(m.body);
      fetch.reads_pieces = false; // the control instances answer as the earlier build
      m.body = peer::pack(fetch);
    }
  };
  REQUIRE(f.change(described(1, {{"service", "s"}, {"keys", 100}})) == true);
  f.run(base::seconds(1));
  REQUIRE(f.entry->version() == 1);
  REQUIRE(f.accepts_key(0));
  f.change_message = nullptr;
  REQUIRE(f.change(described(2, {{"service", "s"}, {"first_key", 1}, {"keys", 101}})) == true);
  f.run(base::seconds(1));
  CHECK(f.entry->version() == 2);
  CHECK(!f.accepts_key(0));
  CHECK(f.accepts_key(100));
}
