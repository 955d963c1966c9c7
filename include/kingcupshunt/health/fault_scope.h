#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupshunt::health {

/// Recent attempts of one instance at one server, weighted by age.
struct instance_counts {
  std::string instance;
  std::string data_centre; ///< of the instance
  double bad = 0;
  double good = 0;
};

/// Who meets the fault of a server.
enum class fault_scope : std::uint8_t {
  server,      ///< all instances alike
  data_centre, ///< the instances of one data centre
  instances    ///< some instances
};

const char* to_string(fault_scope scope) noexcept;

struct scope_finding {
  fault_scope scope = fault_scope::server;
  std::vector<std::string> instances; ///< those that meet a path fault
  double margin = 0; ///< log likelihood of the finding above the next best explanation
};

/// The most likely explanation of the counts: one bad rate for all instances, for one data centre,
/// or for a set of instances, the rest failing at `baseline_rate`.
scope_finding find_scope(std::span<const instance_counts> counts, double baseline_rate);

/// Counts of one server with its data centre, input of find_faulty_instances.
struct server_counts {
  std::string server;
  std::string data_centre;
  std::vector<instance_counts> counts;
};

struct faulty_instance {
  std::string instance;
  double score = 0;     ///< log likelihood ratio against the other instances' rates
  double bad_share = 0; ///< part of its attempts that were bad
  std::uint32_t bad_servers = 0;
};

/// Instances that fail with many servers that others find good. Empty when more than a third of
/// the instances look so: then links or the service are at fault, not single instances.
std::vector<faulty_instance> find_faulty_instances(std::span<const server_counts> servers);

} // namespace kingcupshunt::health
