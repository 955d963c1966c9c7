#include <map>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include "../../src/node/voter.h"
#include "storage/memory_files.h"

using namespace kingcupshunt;

namespace {

constexpr base::milliseconds tick_interval{10};

/// Voters of one log in one process; each has a disk in memory.
class voters {
public:
  voters() {
    for (const char* id : {"a", "b", "c"}) {
      auto& m = members_[id];
      m.settings.id = id;
      m.settings.fleet = "test";
      m.settings.data_folder = id;
      for (const char* other : {"a", "b", "c"}) {
        m.settings.voters.push_back({other, {}});
      }
    }
    for (auto& [id, m] : members_) {
      node::runtime rt{io_, m.settings, metrics_, decisions_, send_from(id), 1, 7};
      rt.seed += static_cast<std::uint64_t>(id[0]);
      node::voter_hooks hooks;
      hooks.on_delta = [](const state::delta&) {};
      hooks.on_restored = [] {};
      auto opened = node::voter::open(rt, hooks, m.files, base::clock::now());
      REQUIRE(opened);
      m.voter = std::move(opened.value());
    }
  }

  /// Runs the voters until `condition` holds; false after 30 s.
  bool run_until(const std::function<bool()>& condition) {
    for (int i = 0; i < 3000 && !condition(); ++i) {
      for (auto& [id, m] : members_) {
        m.voter->tick(base::clock::now());
      }
      io_.restart();
      io_.run_for(tick_interval);
    }
    return condition();
  }

  consensus::replica* leader() {
    for (auto& [id, m] : members_) {
      auto& log = m.voter->server().log();
      if (log.is_leader() && log.is_ready()) {
        return &log;
      }
    }
    return nullptr;
  }

  /// Proposes a change to whatever voter leads until one is committed by all.
  bool commit_everywhere() {
    std::uint64_t index = 0;
    return run_until([&] {
      auto* l = leader();
      if (l == nullptr) {
        index = 0;
        return false;
      }
      if (index == 0 || l->last_index() < index) {
        auto proposed = l->propose("change", base::clock::now());
        index = proposed ? proposed.value() : 0;
      }
      return index > 0 && std::ranges::all_of(members_, [&](auto& item) {
               return item.second.voter->server().log().applied_index() >= index;
             });
    });
  }

  bool has_failed(const std::string& id) {
    return members_.at(id).voter->server().log().has_failed();
  }
  test::memory_files& disk(const std::string& id) { return *members_.at(id).files; }
  std::vector<std::string> ids() const { return {"a", "b", "c"}; }

private:
  struct member {
    settings::process_settings settings;
    std::shared_ptr<test::memory_files> files = std::make_shared<test::memory_files>();
    std::unique_ptr<node::voter> voter;
  };

  peer::send_function send_from(const std::string& from) {
    return [this, from](std::string_view to, peer::message_kind kind, std::string body) {
      boost::asio::post(io_, [this, from, to = std::string(to), kind, body = std::move(body)] {
        if (const auto it = members_.find(to); it != members_.end() && it->second.voter) {
          it->second.voter->server().receive(from, kind, body, base::clock::now());
        }
      });
    };
  }

  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
      io_.get_executor()};
  observe::metrics metrics_;
  observe::decision_ring decisions_{16};
  std::map<std::string, member> members_;
};

} // namespace

// Guards against a voter that stays silent for good after its disk was full: with one disk after
// another, the majority was lost while all processes ran, and changes were refused from then on.
TEST_CASE("voters whose disks were full one after another take changes again") {
  voters all;
  CHECK(all.commit_everywhere());
  for (const auto& id : all.ids()) {
    CAPTURE(id);
    all.disk(id).writes_left = 0;
    CHECK(all.run_until([&] {
      if (auto* l = all.leader()) {
        (void)l->propose("while full", base::clock::now());
      }
      return all.has_failed(id);
    }));
    all.disk(id).writes_left = SIZE_MAX;
    CHECK(all.run_until([&] { return !all.has_failed(id); }));
  }
  CHECK(all.commit_everywhere());
}
