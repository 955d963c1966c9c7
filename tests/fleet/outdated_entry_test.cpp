// Entries to which a newer document was named than the one that they have in force.

#include <doctest/doctest.h>

#include "small_fleet.h"

using namespace test;

namespace {

/// A fleet whose entry has document 1.
struct fleet_with_document : small_fleet {
  fleet_with_document() {
    run(base::seconds(4));
    propose(*this, document(1, "fitting"));
    run(base::seconds(1));
    REQUIRE(entry->version() == 1);
  }
};

} // namespace

// Guards against requests of open routes that run by a document which has long been overtaken, at
// an entry that hears of the newer one and does not get it (review/6).
TEST_CASE("an entry that does not get a newer document is outdated, unless it hears nobody") {
  fleet_with_document f;
  f.change_message = [](small_fleet::message& m) {
    if (m.kind == message_kind::document_piece) {
      m.to = "nobody";
    }
  };
  propose(f, document(2, "orders"));
  f.run(base::milliseconds(1500));
  CHECK(!f.entry->is_outdated(f.now));
  f.run(base::milliseconds(300));
  CHECK(f.entry->is_outdated(f.now));
  for (const auto& id : f.ids) {
    f.cut.insert(id);
  }
  f.run(base::seconds(2));
  CHECK(!f.entry->is_outdated(f.now)); // nobody can tell it which document is the newest
  f.cut.clear();
  f.run(base::seconds(3));
  CHECK(f.entry->is_outdated(f.now));
  f.change_message = nullptr;
  f.run(base::seconds(2));
  CHECK(f.entry->version() == 2);
  CHECK(!f.entry->is_outdated(f.now));
}

// Guards against an entry that goes on with the former document for as long as the control
// instances take to put an acknowledged one in force.
TEST_CASE("an entry is outdated from the commit on while control instances still parse") {
  fleet_with_document f;
  f.holds_aside = true;
  const auto accepted = propose(f, padded(document(2, "orders"), max_inline_text_bytes));
  f.run(base::milliseconds(100));
  REQUIRE(*accepted == true);
  f.run(base::milliseconds(1600));
  CHECK(f.entry->version() == 1);
  CHECK(f.entry->is_outdated(f.now));
  f.holds_aside = false;
  f.run(base::milliseconds(200));
  CHECK(f.entry->version() == 2);
  CHECK(!f.entry->is_outdated(f.now));
}

// Guards against a clock that starts anew with each document that is put in force, so that an entry
// which stays behind by one is never outdated.
TEST_CASE("the time that an entry may be behind counts from when each version is named") {
  fleet_with_document f;
  f.holds_aside = true;
  propose(f, padded(document(2, "orders"), max_inline_text_bytes));
  f.run(base::milliseconds(500));
  propose(f, padded(document(3, "fitting"), max_inline_text_bytes));
  f.run(base::milliseconds(500));
  f.change_message = [](small_fleet::message& m) {
    if (m.kind == message_kind::document_fetch && peer::unpack<document_fetch>(m.body)->held == 2) {
      m.to = "nobody";
    }
  };
  f.holds_aside = false;
  f.run(step);
  f.holds_aside = true; // version 3 waits
  f.run(base::milliseconds(400));
  REQUIRE(f.entry->version() == 2);
  CHECK(!f.entry->is_outdated(f.now));
  f.run(base::milliseconds(900));
  CHECK(f.entry->version() == 2);
  CHECK(f.entry->is_outdated(f.now)); // 1.8 s after version 3
}
