#include "server_file.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "kingcupshunt/fleet/messages.h"
#include "kingcupshunt/observe/event_log.h"
#include "kingcupshunt/peer/message.h"

namespace kingcupshunt::node {

namespace {

constexpr const char* file_name = "servers";

} // namespace

server_file::server_file(boost::asio::io_context& io, std::shared_ptr<storage::file_system> files,
                         std::string folder, records_function records)
    : io_(io), files_(std::move(files)), folder_(std::move(folder)), records_(std::move(records)) {}

std::vector<fleet::server_record> server_file::load() const {
  const auto names = files_->list(folder_);
  if (names && std::ranges::find(names.value(), file_name) == names.value().end()) {
    return {};
  }
  const auto text = files_->read(folder_ + "/" + file_name);
  if (!text) {
    observe::log_error("servers_unreadable", {{"error", storage::describe(text.error())}});
    return {};
  }
  auto stored = peer::unpack<fleet::record_share>(text.value());
  if (!stored) {
    observe::log_error("servers_unreadable", {{"error", "the content is malformed"}});
    return {};
  }
  return std::move(stored->records);
}

void server_file::store(std::function<void(bool)> done) {
  waiting_.push_back(std::move(done));
  if (!is_writing_) {
    write();
  }
}

void server_file::write() {
  is_writing_ = true;
  written_ = std::exchange(waiting_, {});
  boost::asio::post(writer_, [this, alive = std::weak_ptr(is_alive_),
                              text = peer::pack(fleet::record_share{0, records_()})] {
    const auto written = storage::write_whole(*files_, folder_, file_name, text);
    boost::asio::post(
        io_, [this, alive, failure = written ? std::string() : storage::describe(written.error())] {
          if (alive.lock()) {
            on_written(failure);
          }
        });
  });
}

void server_file::on_written(const std::string& failure) {
  is_writing_ = false;
  if (!failure.empty()) {
    observe::log_warning("servers_not_written", {{"error", failure}});
  }
  const auto written = std::exchange(written_, {});
  if (!waiting_.empty()) {
    write();
  }
  for (const auto& done : written) {
    done(failure.empty());
  }
}

} // namespace kingcupshunt::node
