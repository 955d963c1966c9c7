#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <condition_variable>
#include <cstring>
#include <filesystem>
#include <mutex>

#include <unistd.h>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/storage/log_store.h"
#include "kingcupshunt/storage/sync_thread.h"
#include "storage/memory_files.h"

using namespace test;
using consensus::entry;
using consensus::entry_kind;

namespace {

storage::log_store_settings settings(std::uint64_t segment_bytes = 300) {
  return {"data", "a", "lissadell", segment_bytes};
}

consensus::write_batch batch(std::uint64_t sequence, std::vector<entry> entries) {
  consensus::write_batch out;
  out.sequence = sequence;
  out.entries = std::move(entries);
  return out;
}

entry command(std::uint64_t index, std::uint64_t term = 1) {
  return {index, term, entry_kind::command, "payload " + std::to_string(index)};
}

consensus::snapshot snapshot_at(std::uint64_t index, std::uint64_t term = 1) {
  return {index, term, {}, std::make_shared<const std::string>("state")};
}

std::string last_segment(const memory_files& fs) {
  std::string out;
  for (const auto& [name, c] : fs.now) {
    out = name.find("/log-") != std::string::npos ? name : out;
  }
  return out;
}

} // namespace

TEST_CASE("a restart finds entries, term, vote and snapshot") {
  auto fs = std::make_shared<memory_files>();
  std::string store;
  {
    auto s = storage::log_store::open(settings(), fs).value();
    store = s->store_id();
    auto b = batch(1, {command(1), command(2), command(3)});
    b.state = consensus::hard_state{4, "b"};
    REQUIRE(s->write(b));
    b = batch(2, {command(3, 2)});
    b.truncate_from = 3;
    REQUIRE(s->write(b));
    REQUIRE(s->save_snapshot(snapshot_at(2)));
  }
  auto s = storage::log_store::open(settings(), fs).value();
  const auto found = s->take_recovered();
  CHECK(s->store_id() == store);
  CHECK(found.state == consensus::hard_state{4, "b"});
  CHECK(found.base.index == 2);
  CHECK(*found.base.data == "state");
  REQUIRE(found.entries.size() == 1);
  CHECK(found.entries[0].term == 2);
}

TEST_CASE("a folder in use, of another owner or of a newer format is refused") {
  auto fs = std::make_shared<memory_files>();
  auto s = storage::log_store::open(settings(), fs).value();
  CHECK(storage::log_store::open(settings(), fs).error().code == error_code::in_use);
  s.reset();
  auto other = settings();
  other.fleet = "melapath";
  CHECK(storage::log_store::open(other, fs).error().code == error_code::other_owner);
  other = settings();
  other.instance = "b";
  CHECK(storage::log_store::open(other, fs).error().code == error_code::other_owner);
  // The owner record with the format raised by one and a hash that fits.
  auto& owner = fs->now.at("data/owner")->data;
  const auto format = owner.find("format") + 6;
  owner[format] = static_cast<char>(owner[format] + 1);
  const auto payload = std::string_view(owner).substr(16);
  const auto hash = base::hash64(payload, payload.size());
  std::memcpy(owner.data() + 8, &hash, sizeof hash);
  CHECK(storage::log_store::open(settings(), fs).error().code == error_code::newer_format);
}

// Guards against entries that are dropped silently when the disk damages what was acknowledged.
TEST_CASE("damage before the tail is an error with file and offset, a torn tail is cut off") {
  auto fs = std::make_shared<memory_files>();
  {
    auto s = storage::log_store::open(settings(10000), fs).value();
    for (std::uint64_t i = 1; i <= 5; ++i) {
      REQUIRE(s->write(batch(i, {command(i)})));
    }
  }
  const auto name = last_segment(*fs);
  auto& data = fs->now[name]->data;
  const auto whole = data;
  data.resize(data.size() - 3);
  {
    auto s = storage::log_store::open(settings(10000), fs).value();
    CHECK(s->torn_bytes() > 0);
    CHECK(s->take_recovered().entries.size() == 4);
  }
  fs->now.erase(last_segment(*fs));
  data = whole;
  data[whole.size() / 2] = static_cast<char>(data[whole.size() / 2] ^ 1);
  const auto e = storage::log_store::open(settings(10000), fs).error();
  CHECK(e.code == error_code::corrupt);
  CHECK(e.file == name);
  CHECK(e.offset > 0);
  CHECK(e.offset < whole.size() / 2);
}

TEST_CASE("a full or failing disk is reported, and no later write succeeds") {
  auto fs = std::make_shared<memory_files>();
  auto s = storage::log_store::open(settings(), fs).value();
  fs->writes_left = 10;
  CHECK(s->write(batch(1, {command(1)})).error().code == error_code::no_space);
  fs->writes_left = SIZE_MAX;
  CHECK(s->write(batch(2, {command(1)})).error().code == error_code::failed_before);
  s.reset();
  s = storage::log_store::open(settings(), fs).value();
  CHECK(s->take_recovered().entries.empty());
  fs->syncs_left = 0;
  CHECK(s->write(batch(1, {command(1)})).error().code == error_code::io);
}

TEST_CASE("segments below a snapshot are removed and term and vote stay") {
  auto fs = std::make_shared<memory_files>();
  auto s = storage::log_store::open(settings(), fs).value();
  auto b = batch(1, {});
  b.state = consensus::hard_state{3, "c"};
  REQUIRE(s->write(b));
  for (std::uint64_t i = 1; i <= 40; ++i) {
    REQUIRE(s->write(batch(i + 1, {command(i)})));
  }
  const auto before = fs->now.size();
  REQUIRE(s->save_snapshot(snapshot_at(35)));
  REQUIRE(s->drop_segments(35));
  CHECK(fs->now.size() < before / 2);
  s.reset();
  s = storage::log_store::open(settings(), fs).value();
  const auto found = s->take_recovered();
  CHECK(found.state == consensus::hard_state{3, "c"});
  CHECK(found.entries.size() == 5);
}

TEST_CASE("a crash between an installed snapshot and the reset of the log keeps the snapshot") {
  auto fs = std::make_shared<memory_files>();
  auto s = storage::log_store::open(settings(), fs).value();
  REQUIRE(s->write(batch(1, {command(1), command(2)})));
  REQUIRE(s->save_snapshot(snapshot_at(9, 3)));
  s.reset();
  s = storage::log_store::open(settings(), fs).value();
  CHECK(s->take_recovered().entries.empty());
  REQUIRE(s->write(batch(1, {command(10, 3)})));
  s.reset();
  s = storage::log_store::open(settings(), fs).value();
  const auto found = s->take_recovered();
  REQUIRE(found.entries.size() == 1);
  CHECK(found.entries[0].index == 10);
}

// Guards against a write that is reported durable and is gone after a crash.
TEST_CASE("after any crash all reported writes are there and in order") {
  const bool is_ok = rc::check("crash recovery", [] {
    base::rng rng(*rc::gen::arbitrary<std::uint64_t>());
    auto fs = std::make_shared<memory_files>();
    std::vector<entry> model;
    std::uint64_t compacted = 0;
    for (int round = 0; round < 6; ++round) {
      auto opened = storage::log_store::open(settings(200 + rng.below(400)), fs);
      RC_ASSERT(bool(opened));
      auto s = std::move(opened.value());
      const auto found = s->take_recovered();
      RC_ASSERT(found.base.index >= compacted);
      const auto last = found.base.index + found.entries.size();
      RC_ASSERT(last >= model.size());
      RC_ASSERT(last <= model.size() + 1); // the write that was under way may have reached the disk
      for (const auto& e : found.entries) {
        RC_ASSERT((e.index > model.size() || e.payload == model[e.index - 1].payload));
      }
      for (auto i = model.size(); i < last; ++i) {
        model.push_back(found.entries[i - found.base.index]);
      }
      const auto n = rng.below(20);
      for (std::uint64_t i = 0; i < n; ++i) {
        const auto e = command(model.size() + 1, 1 + static_cast<std::uint64_t>(round));
        fs->syncs_left = rng.below(30) == 0 ? 0 : INT32_MAX;
        if (!s->write(batch(i + 1, {e}))) {
          break;
        }
        model.push_back(e);
        if (rng.below(8) == 0) {
          RC_ASSERT(bool(s->save_snapshot(snapshot_at(model.size(), e.term))));
          compacted = model.size();
          RC_ASSERT(bool(s->drop_segments(compacted)));
        }
      }
      s.reset();
      fs->syncs_left = INT32_MAX;
      fs->crash(rng);
    }
  });
  CHECK(is_ok);
}

TEST_CASE("the operating system's files keep a log") {
  const auto folder = std::filesystem::temp_directory_path() /
                      ("kingcupshunt-log-store-" + std::to_string(::getpid()));
  auto s = settings();
  s.folder = folder.string();
  {
    auto store = storage::log_store::open(s, storage::make_system_files()).value();
    CHECK(storage::log_store::open(s, storage::make_system_files()).error().code ==
          error_code::in_use);
    REQUIRE(store->write(batch(1, {command(1)})));
    REQUIRE(store->save_snapshot(snapshot_at(1)));
  }
  auto store = storage::log_store::open(s, storage::make_system_files()).value();
  CHECK(store->take_recovered().base.index == 1);
  store.reset();
  std::filesystem::remove_all(folder);
}

// Guards against a completion that is posted before the write is durable, or for a failed one.
TEST_CASE("the sync thread reports each write in order and failures as such") {
  auto fs = std::make_shared<memory_files>();
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::function<void()>> posted;
  std::vector<std::string> seen;
  storage::sync_thread_hooks h;
  h.post = [&](std::function<void()> f) {
    const std::lock_guard guard(mutex);
    posted.push_back(std::move(f));
    changed.notify_one();
  };
  h.on_written = [&](std::uint64_t sequence, const auto& failure) {
    seen.push_back(std::to_string(sequence) + (failure ? " failed" : " written"));
  };
  h.on_snapshot_saved = [&](std::uint64_t index, const auto& failure) {
    seen.push_back("snapshot " + std::to_string(index) + (failure ? " failed" : " saved"));
  };
  const auto wait_for = [&](std::size_t n) {
    std::unique_lock lock(mutex);
    changed.wait_for(lock, std::chrono::seconds(30), [&] { return posted.size() >= n; });
  };
  {
    storage::sync_thread t(storage::log_store::open(settings(), fs).value(), h);
    t.write(batch(1, {command(1)}));
    t.write(batch(2, {command(2)}));
    wait_for(2);
    t.save_snapshot(snapshot_at(2));
    wait_for(3);
    fs->syncs_left = 0;
    t.write(batch(3, {command(3)}));
  }
  for (const auto& f : posted) {
    f();
  }
  CHECK(seen == std::vector<std::string>{"1 written", "2 written", "snapshot 2 saved", "3 failed"});
}
