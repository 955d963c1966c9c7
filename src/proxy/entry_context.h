#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/base/memory_budget.h"
#include "kingcupshunt/proxy/entry_server.h"
#include "kingcupshunt/proxy/hooks.h"
#include "upstream_pool.h"

namespace kingcupshunt::proxy {

/// State shared by all sessions of one entry.
struct entry_context : std::enable_shared_from_this<entry_context> {
  entry_context(const boost::asio::any_io_executor& ex, entry_settings s, hooks h,
                observe::metrics& m)
      : executor(ex), settings(std::move(s)), hook(std::move(h)), metrics(m), pool(ex, settings, m),
        answer_memory(settings.max_answer_memory_bytes) {}

  std::string next_request_id() { return id_prefix + "-" + std::to_string(++last_request); }

  boost::asio::any_io_executor executor;
  entry_settings settings;
  hooks hook;
  observe::metrics& metrics;
  upstream_pool pool;
  base::memory_budget answer_memory;
  interceptor intercept;
  bool is_stopping = false;
  std::optional<stop_window> stop; ///< set when a planned stop has begun
  std::string id_prefix = base::to_hex(base::random_bytes(8));
  std::uint64_t last_request = 0;
};

} // namespace kingcupshunt::proxy
