#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>

#include "kingcupshunt/fleet/server_record.h"
#include "kingcupshunt/storage/file_system.h"

namespace kingcupshunt::node {

/// The file in which a control instance keeps its backend servers. Written on a thread of its own;
/// calls that come during a write share the next one.
class server_file {
public:
  using records_function = std::function<std::vector<fleet::server_record>()>;

  server_file(boost::asio::io_context& io, std::shared_ptr<storage::file_system> files,
              std::string folder, records_function records);

  /// Records of the last completed write. Empty when there was none or it can't be read.
  std::vector<fleet::server_record> load() const;

  /// Writes what `records` returns now or later, then calls `done` on the loop with whether it is
  /// on the disk.
  void store(std::function<void(bool)> done);
  bool is_writing() const noexcept { return is_writing_; }

private:
  void write();
  void on_written(const std::string& failure);

  boost::asio::io_context& io_;
  std::shared_ptr<storage::file_system> files_;
  std::string folder_;
  records_function records_;
  std::vector<std::function<void(bool)>> written_; ///< for the end of the current write
  std::vector<std::function<void(bool)>> waiting_; ///< for a write that begins later
  bool is_writing_ = false;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true); ///< outlives the posted results
  boost::asio::thread_pool writer_{1}; ///< last member: its thread is joined first
};

} // namespace kingcupshunt::node
