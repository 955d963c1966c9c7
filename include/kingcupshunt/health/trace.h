#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/health/attempt.h"
#include "kingcupshunt/health/evidence.h"
#include "kingcupshunt/health/upstream.h"
#include "kingcupshunt/membership/fleet_view.h"

namespace kingcupshunt::health {

/// Writes the inputs of failure detection as JSON lines, for replays. The format is described in
/// docs/notes/health.md. Times are milliseconds since the writer was made.
class trace_writer {
public:
  /// `write_line` gets each line without its line end.
  trace_writer(base::time_point start, std::function<void(std::string_view line)> write_line);

  void fleet(const membership::fleet_view& view, std::string_view service, double floor,
             base::time_point now);
  void upstreams(std::span<const upstream> servers, base::time_point now);
  /// An attempt of `instance` that ended at `now`.
  void attempt_ended(std::string_view instance, const attempt& a, base::time_point now);
  /// From now on, probes of `id` by `instance` ("*": any) end this way after `delay`.
  void probe_answers(std::string_view instance, std::string_view id, probe_outcome outcome,
                     base::duration delay, base::time_point now);
  /// An instance ends and the view follows after `until_noticed`.
  void instance_lost(std::string_view instance, base::duration until_noticed, base::time_point now);
  /// Stated outcome of the replay: "ejected", "never_ejected", "returned" or "self_faulty", for a
  /// subject ("*": any), between two times.
  void expect(std::string_view outcome, std::string_view subject, base::duration after,
              base::duration before);
  void end(base::time_point now);

private:
  std::int64_t elapsed_ms(base::time_point now) const;

  base::time_point start_;
  std::function<void(std::string_view)> write_line_;
};

} // namespace kingcupshunt::health
