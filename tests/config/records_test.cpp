// Documents as records: their differences, and the blocks in which they are sent.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "kingcupshunt/config/record_blocks.h"
#include "kingcupshunt/config/records.h"
#include "kingcupshunt/config/snapshot.h"

using namespace kingcupshunt;
using config::record_kind;
using config::record_list;

namespace {

base::sha256_digest hash_of(int i) {
  return base::sha256("key-" + std::to_string(i));
}

/// A few keys of a few workspaces, so that documents drawn one after another share most of them.
record_list draw_document() {
  record_list out;
  const auto n = *rc::gen::inRange(0, 40);
  for (int i = 0; i < n; ++i) {
    const auto workspace = "w" + std::to_string(*rc::gen::inRange(0, 4));
    out.push_back(config::make_issued_key(hash_of(*rc::gen::inRange(0, 30)), workspace));
    out.push_back(config::make_record(record_kind::workspace, workspace,
                                      {{"rate", *rc::gen::inRange(1, 4)}}));
    const auto route = "r" + std::to_string(*rc::gen::inRange(0, 10));
    out.push_back(config::make_record(record_kind::route, route,
                                      {{"service", "s"}, {"prefix", "/" + route}}));
  }
  config::normalize(out);
  return out;
}

/// `s` with the records, sent in blocks.
config::snapshot with(config::snapshot s, const record_list& records) {
  config::block_reader reader(config::pack_blocks(records));
  config::change_set changes;
  while (!reader.is_done()) {
    RC_ASSERT(bool(reader.next(changes)));
  }
  s.apply(changes);
  return s;
}

void check_equal(const config::snapshot& s, const record_list& document) {
  std::size_t keys = 0;
  for (const auto& r : document) {
    if (r.kind() == record_kind::issued_key) {
      ++keys;
      base::sha256_digest digest{};
      std::ranges::copy(r.name(), digest.begin());
      const auto found = s.find_key(digest);
      RC_ASSERT(found != nullptr);
      RC_ASSERT(found->workspace == r.value);
    } else if (r.kind() == record_kind::workspace) {
      RC_ASSERT(s.find_workspace(r.name())->rate == nlohmann::json::parse(r.value)["rate"]);
    } else {
      RC_ASSERT(s.routes().contains(r.name()));
    }
  }
  RC_ASSERT(s.issued_keys().size() == keys);
  RC_ASSERT(s.routes().size() == config::records_of(document, record_kind::route).size());
  RC_ASSERT(s.workspaces().size() == config::records_of(document, record_kind::workspace).size());
}

} // namespace

TEST_CASE("changes, also joined ones, turn a snapshot into the later document") {
  CHECK(rc::check([] {
    const auto first = draw_document();
    const auto second = draw_document();
    const auto third = draw_document();
    const auto held = with({}, first);
    check_equal(held, first);
    const auto step = config::changes_between(first, second);
    check_equal(with(held, step), second);
    const auto both = config::joined_changes(step, config::changes_between(second, third));
    check_equal(with(held, both), third);
    check_equal(with(with(held, step), config::changes_between(second, third)), third);
  }));
}

TEST_CASE("records stand for the merged document, and the other way round") {
  CHECK(rc::check([] {
    const auto document = draw_document();
    RC_ASSERT(config::to_records(config::to_json(document)) == document);
  }));
}

// Guards against a key that is taken for the former one of the same name and not withdrawn.
TEST_CASE("a withdrawn key is found no more, whichever form issued it") {
  const auto name = base::to_hex(hash_of(1));
  const nlohmann::json document = {{"workspaces", {{"w", nlohmann::json::object()}}},
                                   {"keys", {{name, {{"workspace", "w"}, {"sha256", name}}}}}};
  auto changes = config::read_changes(document);
  REQUIRE(changes);
  config::issue_keys_named_by_hash(changes.value());
  config::snapshot s;
  s.apply(changes.value());
  REQUIRE(s.find_key(hash_of(1)) != nullptr);
  CHECK(s.keys().empty());
  const auto records = config::to_records(document);
  auto fewer = records;
  std::erase_if(fewer, [](const auto& r) { return r.kind() == record_kind::issued_key; });
  config::block_reader reader(config::pack_blocks(config::changes_between(records, fewer)));
  config::change_set withdrawn;
  REQUIRE(reader.next(withdrawn));
  s.apply(withdrawn);
  CHECK(s.find_key(hash_of(1)) == nullptr);
  CHECK(s.issued_keys().workspaces().empty());
}

// Guards against an entry whose process ends on bytes that are no blocks.
TEST_CASE("blocks that are damaged are refused") {
  record_list records;
  for (int i = 0; i < 100; ++i) {
    records.push_back(config::make_issued_key(hash_of(i), "w"));
    records.push_back(
        config::make_record(record_kind::workspace, "w" + std::to_string(i), {{"rate", 5}}));
  }
  config::normalize(records);
  const auto whole = config::pack_blocks(records);
  std::size_t refused = 0;
  for (std::size_t n = 1; n < whole.size(); n += 3) {
    for (const bool is_cut : {false, true}) {
      auto bytes = is_cut ? whole.substr(0, n) : whole;
      bytes[n - 1] = static_cast<char>(bytes[n - 1] ^ 0x55);
      config::block_reader reader(std::move(bytes));
      config::change_set changes;
      bool is_refused = false;
      while (!reader.is_done() && !is_refused) {
        is_refused = !reader.next(changes);
      }
      refused += is_refused ? 1 : 0;
    }
  }
  CHECK(refused > whole.size() / 3);
}
