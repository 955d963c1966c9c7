#include "kingcupshunt/health/trace.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace kingcupshunt::health {

using nlohmann::json;

trace_writer::trace_writer(base::time_point start,
                           std::function<void(std::string_view line)> write_line)
    : start_(start), write_line_(std::move(write_line)) {}

std::int64_t trace_writer::elapsed_ms(base::time_point now) const {
  return base::to_ms(now - start_);
}

void trace_writer::fleet(const membership::fleet_view& view, std::string_view service, double floor,
                         base::time_point now) {
  json members = json::array();
  for (const auto& member : view.members) {
    members.push_back({member.id, member.data_centre});
  }
  write_line_(
      json{{"t", elapsed_ms(now)}, {"fleet", members}, {"service", service}, {"floor", floor}}
          .dump());
}

void trace_writer::upstreams(std::span<const upstream> servers, base::time_point now) {
  json list = json::array();
  for (const auto& up : servers) {
    const auto& i = up.info;
    list.push_back({i.id, i.data_centre, i.slots, i.is_draining, i.incarnation});
  }
  write_line_(json{{"t", elapsed_ms(now)}, {"upstreams", list}}.dump());
}

void trace_writer::attempt_ended(std::string_view instance, const attempt& a,
                                 base::time_point now) {
  json fields = {instance, a.upstream, base::to_ms(a.total)};
  const bool has_first = base::to_ms(a.first_byte) != base::to_ms(a.total);
  if (a.end != attempt_end::ok || has_first || !a.route.empty()) {
    fields.push_back(to_string(a.end));
    fields.push_back(base::to_ms(a.first_byte));
    fields.push_back(a.route);
  }
  write_line_(json{{"t", elapsed_ms(now)}, {"a", fields}}.dump());
}

void trace_writer::probe_answers(std::string_view instance, std::string_view id,
                                 probe_outcome outcome, base::duration delay,
                                 base::time_point now) {
  write_line_(json{{"t", elapsed_ms(now)},
                   {"probe", {instance, id, static_cast<int>(outcome), base::to_ms(delay)}}}
                  .dump());
}

void trace_writer::instance_lost(std::string_view instance, base::duration until_noticed,
                                 base::time_point now) {
  write_line_(
      json{{"t", elapsed_ms(now)}, {"lost", instance}, {"noticed_ms", base::to_ms(until_noticed)}}
          .dump());
}

void trace_writer::expect(std::string_view outcome, std::string_view subject, base::duration after,
                          base::duration before) {
  write_line_(json{{"expect", outcome},
                   {"subject", subject},
                   {"after", base::to_ms(after)},
                   {"before", base::to_ms(before)}}
                  .dump());
}

void trace_writer::end(base::time_point now) {
  write_line_(json{{"t", elapsed_ms(now)}, {"end", true}}.dump());
}

} // namespace kingcupshunt::health
