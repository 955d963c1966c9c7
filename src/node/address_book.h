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

/// condition_report: what an instance says of itself for the address answers.
struct condition_report {
  bool is_ready = false;
  double load = 0; ///< share of its capacity in use

  MSGPACK_DEFINE_MAP(is_ready, load)
};

/// What this instance knows of every instance's condition, and the answers to callers that ask
/// which addresses to use.
class address_book {
public:
  address_book(const runtime& rt, fleet_state& fleet) : rt_(rt), fleet_(fleet) {}

  /// States the own condition; it is spread at once when readiness changes.
  void set_local(const condition_report& own, base::time_point now);
  void receive(std::string_view from, std::string_view body, base::time_point now);

  /// Answers GET /.kingcupshunt/addresses and /.kingcupshunt/addresses/DATA_CENTRE. A key sent
  /// along keeps the callers of a small workspace on few instances. Empty for other paths.
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
