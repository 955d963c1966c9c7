#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/health/upstream.h"
#include "kingcupshunt/membership/fleet_view.h"
#include "kingcupshunt/observe/decision.h"
#include "kingcupshunt/peer/message.h"

namespace kingcupshunt::health {

/// Announced servers with the age of the announcement at the time of sending.
struct registry_record {
  announcement info;
  std::uint32_t age_ms = 0;

  MSGPACK_DEFINE_MAP(info, age_ms)
};

/// Body of registry_update.
struct registry_update {
  std::vector<registry_record> records;

  MSGPACK_DEFINE_MAP(records)
};

/// Version of one record.
struct registry_version {
  std::string service;
  std::string id;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  MSGPACK_DEFINE_MAP(service, id, incarnation, sequence)
};

/// Body of registry_digest: the versions of a range of keys held by the sender.
struct registry_digest {
  std::vector<registry_version> versions;
  std::string first; ///< key of the first record of the range, "service\nid"
  std::string last;  ///< end of the range (exclusive); empty: to the end
  bool is_answer = false;

  MSGPACK_DEFINE_MAP(versions, first, last, is_answer)
};

struct registry_settings {
  std::string self;
  std::uint64_t seed = 1;
  base::duration time_to_live = base::seconds(3);
  base::duration digest_interval = base::milliseconds(500);
  base::duration renewal_interval = base::milliseconds(250); ///< renewals are sent together
  base::duration stale_time_to_live = base::seconds(3600);   ///< life of the last resort
  std::size_t max_records = 200'000;
};

struct registry_hooks {
  peer::send_function send;
  /// Called when a service's servers, their slots or their states change; not for renewals.
  std::function<void(std::string_view service, base::time_point now)> on_change;
  std::function<void(observe::decision)> on_decision;
};

/// Every instance's copy of the announced servers. Announcements arrive at any instance and are
/// spread to all; the newest (incarnation, sequence) wins.
class registry {
public:
  registry(registry_settings settings, registry_hooks hooks);

  /// An announcement received by this instance's listener. Returns false when it is invalid, older
  /// than what is known, or the registry is full.
  bool announce(const announcement& a, base::time_point now);

  /// Takes registry_update and registry_digest; ignores other kinds.
  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);
  void set_view(const membership::fleet_view& view, base::time_point now);

  /// Servers of a service, draining ones included. Stale ones only when no others are left.
  std::vector<upstream> upstreams(std::string_view service) const;

  /// Names of the services with at least one server, stale or not.
  std::vector<std::string> services() const;

  std::uint64_t malformed_count() const noexcept { return malformed_; }

private:
  struct entry {
    upstream server;
    bool is_expired = false; ///< kept for a while so that late messages do not revive it
  };
  struct resend {
    base::time_point due;
    std::string key;
  };

  bool merge(const announcement& a, base::time_point renewed, base::time_point now);
  void handle_update(std::string_view from, const registry_update& update, base::time_point now);
  void handle_digest(std::string_view from, const registry_digest& digest, base::time_point now);
  void expire(base::time_point now);
  void expire_service(const std::string& service, base::time_point now);
  void send_records(const std::vector<std::string>& to, const std::vector<std::string>& keys,
                    base::time_point now);
  void send_digest(std::string_view to, bool is_answer, const std::string& first,
                   base::time_point now);
  std::vector<std::string> random_peers(std::size_t n);
  void notify_change(const std::string& service, base::time_point now);

  registry_settings settings_;
  registry_hooks hooks_;
  base::rng rng_;
  std::map<std::string, entry, std::less<>> entries_; ///< by "service\nid"
  std::vector<std::string> peers_;                    ///< active members other than this instance
  std::vector<std::string> renewed_keys_;
  std::deque<resend> resends_;
  base::time_point next_digest_{};
  base::time_point next_renewal_{};
  std::string digest_cursor_;
  std::uint64_t malformed_ = 0;
};

} // namespace kingcupshunt::health
