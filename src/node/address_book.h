#pragma once

#include <map>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "fleet_state.h"
#include "kingcupshunt/membership/address_answers.h"
#include "kingcupshunt/proxy/entry_server.h"
#include "runtime.h"

namespace kingcupshunt::node {

/// condition_report: readiness and load of the sending instance, for address answers.
struct condition_report {
  bool is_ready = false;
  double load = 0; ///< share of its capacity in use, 0 to 1

  MSGPACK_DEFINE_MAP(is_ready, load)
};

/// Tracks readiness and load of all instances, and answers callers' requests for entry addresses.
class address_book {
public:
  address_book(const runtime& rt, fleet_state& fleet) : rt_(rt), fleet_(fleet) {}

  /// Sets this instance's condition. Sent periodically, and at once when readiness changes.
  void set_local(const condition_report& report, base::time_point now);
  void receive(std::string_view from, std::string_view body, base::time_point now);

  /// Answers GET /.kingcupshunt/addresses and /.kingcupshunt/addresses/DATA_CENTRE. A request
  /// with the key of a low-rate workspace gets few addresses. Empty for other paths.
  std::optional<proxy::local_answer> answer(const proxy::request_head& head) const;

private:
  struct received_report {
    condition_report report;
    base::time_point received{};
  };

  membership::member_condition condition_of(const membership::fleet_member& member,
                                            base::time_point now) const;
  void send_local(base::time_point now);

  runtime rt_;
  fleet_state& fleet_;
  condition_report local_;
  std::map<std::string, received_report, std::less<>> reports_;
  base::time_point next_send_{};
};

} // namespace kingcupshunt::node
