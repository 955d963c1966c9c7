#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "kingcupshunt/consensus/types.h"
#include "kingcupshunt/storage/error.h"
#include "kingcupshunt/storage/file_system.h"

namespace kingcupshunt::storage {

struct log_store_settings {
  std::string folder;
  std::string instance; ///< id of this instance
  std::string fleet;
  std::uint64_t segment_bytes = 8U << 20U;
};

/// Log segments, term and vote, and snapshots in one folder.
///
/// Files: `owner` (format, fleet, instance, store id), `lock`, `log-<number>` segments and
/// `snapshot-<index>`, which consist of records (see record.h). A batch is one record, and the next
/// one is written only after it is durable, so at most the last record of the last segment can be
/// torn. All calls but save_snapshot come from one thread at a time; save_snapshot may run beside
/// write.
class log_store {
public:
  /// Opens or creates the folder and reads it. A torn last record is cut off; damage before the
  /// tail is an error that names file and offset.
  static result<std::unique_ptr<log_store>> open(log_store_settings settings,
                                                 std::shared_ptr<file_system> files);

  /// State found by open. May be called once.
  consensus::recovered_state take_recovered() { return std::move(recovered_); }
  /// Random id of this folder.
  const std::string& store_id() const noexcept { return store_id_; }
  /// Bytes of a torn tail that open cut off.
  std::uint64_t torn_bytes() const noexcept { return torn_bytes_; }

  /// Writes one batch and returns after it is durable. After an error every later call fails.
  result<void> write(const consensus::write_batch& batch);

  /// Writes a snapshot durably and removes older ones.
  result<void> save_snapshot(const consensus::snapshot& s);

  /// Removes segments that hold only entries up to `index`. Call from the thread of write, after
  /// save_snapshot of that index has returned.
  result<void> drop_segments(std::uint64_t index);

private:
  struct segment {
    std::string name;
    std::uint64_t last = 0; ///< greatest index of its entries
    std::uint64_t bytes = 0;
  };

  log_store(log_store_settings settings, std::shared_ptr<file_system> files)
      : settings_(std::move(settings)), files_(std::move(files)) {}

  std::string path(const std::string& name) const { return settings_.folder + "/" + name; }
  result<void> check_owner();
  result<void> create_owner();
  result<void> read_snapshots(const std::vector<std::string>& names);
  result<void> read_segments(const std::vector<std::string>& names);
  result<void> read_segment(const std::string& name, bool is_last);
  result<void> replay(std::string_view payload, segment& in, std::uint64_t offset);
  result<void> check_continuity();
  result<void> start_segment();
  result<void> write_whole(const std::string& name, const std::string& content);
  result<void> append(const std::string& record);

  log_store_settings settings_;
  std::shared_ptr<file_system> files_;
  std::shared_ptr<void> lock_;
  std::string store_id_;
  consensus::recovered_state recovered_;
  std::uint64_t torn_bytes_ = 0;
  std::vector<segment> segments_; ///< in order; the last one is written to
  std::unique_ptr<file> tail_;
  consensus::hard_state state_; ///< as last written
  std::uint64_t next_segment_ = 1;
  bool needs_reset_ = false; ///< a snapshot was taken over, but the log was not reset yet
  bool has_failed_ = false;
};

} // namespace kingcupshunt::storage
