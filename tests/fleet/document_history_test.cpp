#include <doctest/doctest.h>

#include <string>

#include <nlohmann/json.hpp>

#include "kingcupshunt/fleet/document_history.h"

using namespace kingcupshunt;
using namespace kingcupshunt::fleet;

namespace {

config::record_list keys(int from, int to) {
  config::record_list out;
  for (int i = from; i < to; ++i) {
    out.push_back(config::make_issued_key(base::sha256(std::to_string(i)), "w"));
  }
  config::normalize(out);
  return out;
}

} // namespace

TEST_CASE("the newest document is sent as changes to a version that is known, else whole") {
  base::time_point now{base::seconds(1000)};
  document_history h;
  CHECK(h.is_empty());
  h.add(3, keys(0, 20'000));
  h.add(5, keys(10, 20'010));
  CHECK(h.packed_for(3, now)->base == 3);
  CHECK(h.packed_for(3, now)->version == 5);
  CHECK(h.packed_for(3, now)->content_size < 2000);
  CHECK(h.packed_for(4, now)->base == 0);
  CHECK(h.packed_for(0, now)->bytes.size() > 15 * 20'000);
  CHECK(h.packed_for(0, now) == h.packed_for(4, now));
}

// Guards against changes in quick succession that make an instance fetch the whole again and again.
TEST_CASE("a document that is being fetched stays for some time after newer ones") {
  base::time_point now{base::seconds(1000)};
  document_history h;
  h.add(1, keys(0, 1000));
  const auto first = h.packed_for(0, now);
  for (std::uint64_t version = 2; version < 50; ++version) {
    now += base::seconds(1);
    h.add(version, keys(0, 1000 + static_cast<int>(version)));
    h.packed_for(0, now);
    CHECK(h.find(first->hash, now) == first);
  }
  now += base::seconds(11);
  h.add(50, keys(0, 1));
  h.packed_for(0, now);
  CHECK(h.find(first->hash, now) == nullptr);
}

// Guards against memory that grows with the number of changes (review/9).
TEST_CASE("what is kept of many large changes is bounded") {
  base::time_point now{base::seconds(1000)};
  document_history h;
  for (std::uint64_t version = 1; version < 40; ++version) {
    h.add(version, keys(static_cast<int>(version % 2) * 20'000,
                        static_cast<int>(version % 2) * 20'000 + 20'000));
  }
  // Each change withdraws and issues 20,000 keys, so that few are kept.
  CHECK(h.packed_for(38, now)->base == 38);
  CHECK(h.packed_for(30, now)->base == 0);
}

TEST_CASE("a text that is too long for an earlier build is not kept") {
  document_history h;
  h.add(1, keys(0, 100));
  CHECK(nlohmann::json::parse(h.text_for(0, true, 1U << 20U).text)["keys"].size() == 100);
  h.add(2, keys(0, 101));
  CHECK(nlohmann::json::parse(h.text_for(1, true, 1U << 20U).text)["keys"].size() == 1);
  CHECK(h.text_for(0, true, 1000).text.empty());
  CHECK(h.text_for(0, true, 1000).size > 1000);
}
