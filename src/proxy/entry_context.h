#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "caller_memory.h"
#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/base/memory_budget.h"
#include "kingcupshunt/proxy/entry_server.h"
#include "kingcupshunt/proxy/hooks.h"
#include "server_holds.h"
#include "upstream_pool.h"

namespace kingcupshunt::proxy {

/// State shared by all sessions of one entry.
struct entry_context : std::enable_shared_from_this<entry_context> {
  entry_context(const boost::asio::any_io_executor& ex, entry_settings s, hooks h,
                observe::metrics& m)
      : executor(ex), settings(std::move(s)), hook(std::move(h)), metrics(m), pool(ex, settings, m),
        answer_memory(settings.max_answer_memory_bytes),
        memory(settings.max_caller_memory_bytes, settings.single_caller_share),
        holds(settings.least_body_rate) {}

  /// Raises a lease of `memory`. When there is not enough, idle and stalled connections are closed,
  /// which gives back memory later; `is_freeing` says whether there were any.
  bool extend(caller_memory::lease& of, std::size_t bytes, caller_memory::use purpose,
              bool* is_freeing = nullptr);

  std::string next_request_id() { return id_prefix + "-" + std::to_string(++last_request); }

  boost::asio::any_io_executor executor;
  entry_settings settings;
  hooks hook;
  observe::metrics& metrics;
  upstream_pool pool;
  base::memory_budget answer_memory;
  caller_memory memory;
  server_holds holds;
  /// Closes idle connections, then drops stalled heads and bodies, until at least `bytes` of
  /// `lack` (null: of anyone) will be given back. Returns false when none was found.
  std::function<bool(std::size_t bytes, const caller_memory::counter& lack)> reclaim;
  interceptor intercept;
  bool is_stopping = false;
  std::optional<stop_window> stop; ///< set when a planned stop has begun
  std::string id_prefix = base::to_hex(base::random_bytes(8));
  std::uint64_t last_request = 0;
};

} // namespace kingcupshunt::proxy
