#include "kingcupshunt/storage/log_store.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "disk_format.h"
#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/peer/message.h"
#include "record.h"

namespace kingcupshunt::storage {

namespace {

constexpr std::size_t store_id_bytes = 16;
constexpr const char* owner_name = "owner";
constexpr const char* lock_name = "lock";

std::string numbered(const char* prefix, std::uint64_t number) {
  constexpr std::size_t digits = 20;
  auto text = std::to_string(number);
  return prefix + std::string(digits - text.size(), '0') + text;
}

std::string record_of(const std::string& payload) {
  std::string out;
  append_record(out, payload);
  return out;
}

} // namespace

result<std::unique_ptr<log_store>> log_store::open(log_store_settings settings,
                                                   std::shared_ptr<file_system> files) {
  std::unique_ptr<log_store> out(new log_store(std::move(settings), std::move(files)));
  auto& fs = *out->files_;
  BOOST_OUTCOME_TRY(fs.make_folder(out->settings_.folder));
  BOOST_OUTCOME_TRY(lock, fs.lock(out->path(lock_name)));
  out->lock_ = std::move(lock);
  BOOST_OUTCOME_TRY(names, fs.list(out->settings_.folder));
  for (const auto& name : names) {
    if (name.ends_with(".tmp")) {
      BOOST_OUTCOME_TRY(fs.remove(out->path(name)));
    }
  }
  if (std::ranges::find(names, owner_name) == names.end()) {
    const bool has_log = std::ranges::any_of(
        names, [](auto& n) { return n.starts_with("log-") || n.starts_with("snapshot-"); });
    if (has_log) {
      return error{error_code::corrupt, out->path(owner_name), 0, "the file is missing"};
    }
    BOOST_OUTCOME_TRY(out->create_owner());
  }
  BOOST_OUTCOME_TRY(out->check_owner());
  BOOST_OUTCOME_TRY(out->read_snapshots(names));
  BOOST_OUTCOME_TRY(out->read_segments(names));
  BOOST_OUTCOME_TRY(out->check_continuity());
  out->state_ = out->recovered_.state;
  BOOST_OUTCOME_TRY(out->start_segment());
  return out;
}

result<void> log_store::create_owner() {
  const disk_owner owner{disk_format, settings_.fleet, settings_.instance,
                         base::to_hex(base::random_bytes(store_id_bytes))};
  return write_whole(owner_name, record_of(peer::pack(owner)));
}

result<void> log_store::check_owner() {
  const auto name = path(owner_name);
  BOOST_OUTCOME_TRY(content, files_->read(name));
  const auto record = read_record(content, 0);
  const auto owner =
      record.state == record_state::whole ? peer::unpack<disk_owner>(record.payload) : std::nullopt;
  if (!owner) {
    return error{error_code::corrupt, name, 0, ""};
  }
  if (owner->format > disk_format) {
    return error{error_code::newer_format, name, 0,
                 "found format " + std::to_string(owner->format) + ", known are up to " +
                     std::to_string(disk_format)};
  }
  if (owner->fleet != settings_.fleet || owner->instance != settings_.instance) {
    return error{error_code::other_owner, name, 0,
                 "found instance \"" + owner->instance + "\" of fleet \"" + owner->fleet +
                     "\", expected \"" + settings_.instance + "\" of \"" + settings_.fleet + "\""};
  }
  store_id_ = owner->store;
  return base::success();
}

result<void> log_store::read_snapshots(const std::vector<std::string>& names) {
  std::string newest;
  for (const auto& name : names) {
    if (name.starts_with("snapshot-") && !name.ends_with(".tmp")) {
      newest = name;
    }
  }
  if (newest.empty()) {
    return base::success();
  }
  BOOST_OUTCOME_TRY(content, files_->read(path(newest)));
  const auto head = read_record(content, 0);
  const auto meta =
      head.state == record_state::whole ? peer::unpack<disk_snapshot>(head.payload) : std::nullopt;
  if (!meta) {
    return error{error_code::corrupt, path(newest), 0, ""};
  }
  const auto data = read_record(content, head.next);
  if (data.state != record_state::whole) {
    return error{error_code::corrupt, path(newest), head.next, ""};
  }
  recovered_.base = {meta->index, meta->term, meta->voters,
                     std::make_shared<const std::string>(data.payload)};
  return base::success();
}

result<void> log_store::read_segments(const std::vector<std::string>& names) {
  std::vector<std::string> logs;
  for (const auto& name : names) {
    if (name.starts_with("log-") && !name.ends_with(".tmp")) {
      logs.push_back(name);
    }
  }
  for (const auto& name : logs) {
    BOOST_OUTCOME_TRY(read_segment(name, name == logs.back()));
  }
  return base::success();
}

result<void> log_store::read_segment(const std::string& name, bool is_last) {
  BOOST_OUTCOME_TRY(content, files_->read(path(name)));
  segment read{name, 0, content.size()};
  std::uint64_t offset = 0;
  while (true) {
    const auto record = read_record(content, offset);
    if (record.state == record_state::end) {
      break;
    }
    if (record.state == record_state::damaged) {
      // A later record was written only after this one was durable, so it cannot be a torn write.
      if (!is_last || has_record_after(content, offset)) {
        return error{error_code::corrupt, path(name), offset, ""};
      }
      torn_bytes_ = content.size() - offset;
      BOOST_OUTCOME_TRY(files_->truncate(path(name), offset));
      read.bytes = offset;
      break;
    }
    BOOST_OUTCOME_TRY(replay(record.payload, read, offset));
    offset = record.next;
  }
  next_segment_ = std::stoull(name.substr(name.find('-') + 1)) + 1;
  segments_.push_back(read);
  return base::success();
}

result<void> log_store::replay(std::string_view payload, segment& in, std::uint64_t offset) {
  const auto damaged = [&](const char* what) {
    return error{error_code::corrupt, path(in.name), offset, what};
  };
  auto batch = peer::unpack<disk_batch>(payload);
  if (!batch) {
    return damaged("a record has no known content");
  }
  auto& entries = recovered_.entries;
  if (batch->has_reset) {
    if (batch->reset_index > recovered_.base.index) {
      return damaged("the snapshot that the log follows is missing");
    }
    entries.clear();
  }
  if (batch->truncate_from > 0) {
    while (!entries.empty() && entries.back().index >= batch->truncate_from) {
      entries.pop_back();
    }
  }
  for (auto& e : batch->entries) {
    const auto expected = entries.empty() ? e.index : entries.back().index + 1;
    if (e.index != expected) {
      return damaged("an entry is missing");
    }
    in.last = std::max(in.last, e.index);
    entries.push_back(std::move(e));
  }
  if (batch->has_state) {
    recovered_.state = batch->state;
  }
  return base::success();
}

result<void> log_store::check_continuity() {
  auto& entries = recovered_.entries;
  const auto& base = recovered_.base;
  if (entries.empty()) {
    return base::success();
  }
  if (entries.front().index > base.index + 1) {
    return error{error_code::corrupt, path(segments_.front().name), 0,
                 "entries before " + std::to_string(entries.front().index) + " are missing"};
  }
  const bool is_behind = entries.back().index < base.index;
  const bool differs = !is_behind && base.index >= entries.front().index &&
                       entries[base.index - entries.front().index].term != base.term;
  if (is_behind || differs) {
    // The snapshot was taken over from the leader and the reset of the log was not written.
    entries.clear();
    needs_reset_ = true;
  }
  std::erase_if(entries, [&](const auto& e) { return e.index <= base.index; });
  return base::success();
}

result<void> log_store::start_segment() {
  const auto name = numbered("log-", next_segment_++);
  BOOST_OUTCOME_TRY(opened, files_->open(path(name)));
  tail_ = std::move(opened);
  segments_.push_back({name, 0, 0});
  // Each segment starts with term and vote, so that older ones can be removed.
  disk_batch head;
  head.has_state = true;
  head.state = state_;
  if (std::exchange(needs_reset_, false)) {
    head.has_reset = true;
    head.reset_index = recovered_.base.index;
    head.reset_term = recovered_.base.term;
  }
  BOOST_OUTCOME_TRY(append(record_of(peer::pack(head))));
  return files_->sync_folder(settings_.folder);
}

result<void> log_store::append(const std::string& record) {
  BOOST_OUTCOME_TRY(tail_->write(record));
  BOOST_OUTCOME_TRY(tail_->sync());
  segments_.back().bytes += record.size();
  return base::success();
}

result<void> log_store::write(const consensus::write_batch& batch) {
  if (has_failed_) {
    return error{error_code::failed_before, settings_.folder, 0, ""};
  }
  has_failed_ = true; // until everything below has succeeded
  disk_batch out;
  if (batch.reset) {
    out.has_reset = true;
    out.reset_index = batch.reset->index;
    out.reset_term = batch.reset->term;
  }
  out.truncate_from = batch.truncate_from.value_or(0);
  out.entries = batch.entries;
  if (batch.state) {
    out.has_state = true;
    out.state = *batch.state;
    state_ = *batch.state;
  }
  BOOST_OUTCOME_TRY(append(record_of(peer::pack(out))));
  if (!batch.entries.empty()) {
    segments_.back().last = std::max(segments_.back().last, batch.entries.back().index);
  }
  if (segments_.back().bytes >= settings_.segment_bytes) {
    BOOST_OUTCOME_TRY(start_segment());
  }
  has_failed_ = false;
  return base::success();
}

result<void> log_store::write_whole(const std::string& name, const std::string& content) {
  return storage::write_whole(*files_, settings_.folder, name, content);
}

result<void> log_store::save_snapshot(const consensus::snapshot& s) {
  const auto name = numbered("snapshot-", s.index);
  BOOST_OUTCOME_TRY(names, files_->list(settings_.folder));
  for (const auto& other : names) {
    if (other.starts_with("snapshot-") && other.ends_with(".tmp")) {
      // Left behind by a write that failed; appending to it would damage this one.
      BOOST_OUTCOME_TRY(files_->remove(path(other)));
    }
  }
  auto content = record_of(peer::pack(disk_snapshot{s.index, s.term, s.voters}));
  append_record(content, *s.data);
  BOOST_OUTCOME_TRY(write_whole(name, content));
  for (const auto& other : names) {
    if (other.starts_with("snapshot-") && !other.ends_with(".tmp") && other < name) {
      BOOST_OUTCOME_TRY(files_->remove(path(other)));
    }
  }
  return base::success();
}

result<void> log_store::drop_segments(std::uint64_t index) {
  while (segments_.size() > 1 && segments_.front().last <= index) {
    BOOST_OUTCOME_TRY(files_->remove(path(segments_.front().name)));
    segments_.erase(segments_.begin());
  }
  return base::success();
}

} // namespace kingcupshunt::storage
