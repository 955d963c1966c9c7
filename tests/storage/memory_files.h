#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/storage/file_system.h"

namespace test {

using namespace kingcupshunt;
using storage::error;
using storage::error_code;

/// Files in memory that lose unsynced writes, names and removals in a crash, and fail on demand.
class memory_files : public storage::file_system {
public:
  struct content {
    std::string data;
    std::size_t synced = 0;
  };
  using folder = std::map<std::string, std::shared_ptr<content>>;

  folder now;                                      ///< as processes see it
  folder durable;                                  ///< names that survive a crash
  std::atomic<std::size_t> writes_left = SIZE_MAX; ///< bytes until the disk is full
  int syncs_left = INT32_MAX;                      ///< syncs until one fails
  std::set<std::string> locked;

  /// Keeps of each unsynced write a random part.
  void crash(base::rng& rng) {
    now = durable;
    locked.clear();
    for (auto& [name, c] : now) {
      const auto kept = c->synced + rng.below(c->data.size() - c->synced + 1);
      c = std::make_shared<content>(content{c->data.substr(0, kept), kept});
      durable[name] = c;
    }
  }

  struct open_file : storage::file {
    open_file(memory_files& fs, std::shared_ptr<content> c) : fs_(fs), c_(std::move(c)) {}
    storage::result<void> write(std::string_view data) override {
      const auto n = std::min(fs_.writes_left.load(), data.size());
      fs_.writes_left -= n;
      c_->data += data.substr(0, n);
      if (n < data.size()) {
        return error{error_code::no_space, "memory", 0, ""};
      }
      return base::success();
    }
    storage::result<void> sync() override {
      if (fs_.syncs_left-- <= 0) {
        return error{error_code::io, "memory", 0, ""};
      }
      c_->synced = c_->data.size();
      return base::success();
    }
    memory_files& fs_;
    std::shared_ptr<content> c_;
  };

  storage::result<void> make_folder(const std::string&) override { return base::success(); }
  storage::result<std::vector<std::string>> list(const std::string& path) override {
    std::vector<std::string> out;
    for (const auto& [name, c] : now) {
      out.push_back(name.substr(path.size() + 1));
    }
    return out;
  }
  storage::result<std::string> read(const std::string& path) override { return now.at(path)->data; }
  storage::result<std::unique_ptr<storage::file>> open(const std::string& path) override {
    auto& c = now[path];
    c = c ? c : std::make_shared<content>();
    return std::unique_ptr<storage::file>(std::make_unique<open_file>(*this, c));
  }
  storage::result<void> truncate(const std::string& path, std::uint64_t size) override {
    now.at(path)->data.resize(size);
    now.at(path)->synced = size;
    return base::success();
  }
  storage::result<void> rename(const std::string& from, const std::string& to) override {
    now[to] = now.at(from);
    now.erase(from);
    return base::success();
  }
  storage::result<void> remove(const std::string& path) override {
    now.erase(path);
    return base::success();
  }
  storage::result<void> sync_folder(const std::string&) override {
    durable = now;
    return base::success();
  }
  storage::result<std::shared_ptr<void>> lock(const std::string& path) override {
    if (!locked.insert(path).second) {
      return error{error_code::in_use, path, 0, ""};
    }
    return std::shared_ptr<void>(nullptr, [this, path](void*) { locked.erase(path); });
  }
};

} // namespace test
