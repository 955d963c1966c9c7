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

/// One announcement with its age at the time of sending.
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

/// Body of registry_digest: the versions that the sender holds in a range of keys.
struct registry_digest {
  std::vector<registry_version> versions;
  std::string first; ///< lower end of the range (inclusive), as "service\nid"
  std::string last;  ///< upper end of the range (exclusive); empty: no upper end
  bool is_answer = false;

  MSGPACK_DEFINE_MAP(versions, first, last, is_answer)
};

struct registry_settings {
  std::string self;
  std::uint64_t seed = 1;
  base::duration time_to_live = base::seconds(3);
  base::duration digest_interval = base::milliseconds(500);
  base::duration renewal_interval = base::milliseconds(250); ///< renewals are sent in batches
  /// How long the last known servers of a service stay usable after they expire.
  base::duration stale_time_to_live = base::seconds(3600);
  std::size_t max_records = 200'000;
};

struct registry_hooks {
  peer::send_function send;
  /// Called when a service's servers, their slots or their states change, but not on renewals.
  std::function<void(std::string_view service, base::time_point now)> on_change;
  std::function<void(observe::decision)> on_decision;
};

/// Replicated table of the announced servers; every instance holds a full copy. Any instance
/// accepts announcements and propagates them to all; the highest (incarnation, sequence) wins.
class registry {
public:
  registry(registry_settings settings, registry_hooks hooks);

  /// Handles an announcement received by this instance's listener. Returns false when it is invalid
  /// or older than the stored one, or when the registry is full.
  bool announce(const announcement& a, base::time_point now);

  /// Handles registry_update and registry_digest; ignores other kinds.
  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);
  void set_view(const membership::fleet_view& view, base::time_point now);

  /// Servers of a service, draining ones included. Stale ones are included only while no live
  /// server exists.
  std::vector<upstream> upstreams(std::string_view service) const;

  /// Names of the services with at least one server, including stale ones.
  std::vector<std::string> services() const;

  std::uint64_t malformed_count() const noexcept { return malformed_; }

private:
  struct entry {
    upstream server;
    bool is_expired = false; ///< tombstone, so that delayed messages do not revive the server
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
