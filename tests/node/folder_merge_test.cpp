#include <doctest/doctest.h>

#include "kingcupshunt/node/folder_merge.h"

using namespace kingcupshunt;

namespace {

node::folder_base base_of(const config::files& files) {
  return {node::digest_files(files), {}, true};
}

} // namespace

TEST_CASE("a holder that returns with an old folder undoes nothing") {
  const config::files old = {{"a.json", "1"}, {"b.json", "1"}};
  const config::files fleet = {{"a.json", "2"}, {"c.json", "1"}};
  const auto plan = node::plan_change(base_of(old), old, fleet);
  CHECK(!plan.has_change());
  CHECK(plan.conflicts.empty());
}

TEST_CASE("only what the operator changed since is proposed") {
  const config::files old = {{"a.json", "1"}, {"b.json", "1"}};
  const config::files fleet = {{"a.json", "2"}, {"b.json", "1"}};
  const config::files folder = {{"a.json", "1"}, {"b.json", "3"}, {"d.json", "1"}};
  const auto plan = node::plan_change(base_of(old), folder, fleet);
  CHECK(plan.changed == std::map<std::string, std::string>{{"b.json", "3"}, {"d.json", "1"}});
  CHECK(plan.removed.empty());
}

TEST_CASE("a file changed on both sides is a conflict until it is edited again") {
  const config::files old = {{"a.json", "1"}, {"b.json", "1"}};
  const config::files fleet = {{"a.json", "2"}, {"b.json", "1"}};
  config::files folder = {{"a.json", "3"}, {"b.json", "1"}};
  auto plan = node::plan_change(base_of(old), folder, fleet);
  REQUIRE(plan.conflicts.size() == 1);
  CHECK(!plan.has_change());
  const auto after = plan.next;
  CHECK(node::plan_change(after, folder, fleet).conflicts.empty());
  CHECK(!node::plan_change(after, folder, fleet).has_change());
  folder["a.json"] = "4";
  plan = node::plan_change(after, folder, fleet);
  CHECK(plan.changed.at("a.json") == "4");
  CHECK(plan.next.rejected.empty());
}

TEST_CASE("an empty folder where files were removes nothing") {
  const config::files old = {{"a.json", "1"}};
  const auto plan = node::plan_change(base_of(old), {}, old);
  CHECK(plan.removes_everything);
  CHECK(!plan.has_change());
  CHECK(plan.next.seen == base_of(old).seen);
}

TEST_CASE("a holder without memory proposes all only to a fleet without files") {
  const config::files folder = {{"a.json", "1"}};
  CHECK(node::plan_change({}, folder, {}).changed.size() == 1);
  const auto plan = node::plan_change({}, folder, {{"a.json", "2"}});
  CHECK(!plan.has_change());
  CHECK(plan.next.is_known);
}

TEST_CASE("a change that was accepted before a crash is not proposed again") {
  const config::files old = {{"a.json", "1"}};
  const config::files folder = {{"a.json", "2"}};
  const auto plan = node::plan_change(base_of(old), folder, folder);
  CHECK(!plan.has_change());
  CHECK(plan.next.seen == node::digest_files(folder));
}

TEST_CASE("the base survives its text form and damaged text is refused") {
  node::folder_base base = base_of({{"a.json", "1"}});
  base.rejected["b.json"] = "x";
  const auto read = node::parse_folder_base(node::to_text(base));
  REQUIRE(read);
  CHECK(read->seen == base.seen);
  CHECK(read->rejected == base.rejected);
  CHECK(!node::parse_folder_base("{\"seen\": 1, \"rejected\": {}}"));
  CHECK(!node::parse_folder_base("{"));
}
