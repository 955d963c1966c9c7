#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupshunt::health {

/// Recent attempts of one instance at one server, weighted by age. Bad ones failed or were slow.
struct instance_counts {
  std::string instance;
  std::string data_centre; ///< of the instance
  double bad = 0;
  double good = 0;
};

/// Instances that a server's fault affects.
enum class fault_scope : std::uint8_t {
  server,      ///< all instances equally
  data_centre, ///< the instances of one data centre
  instances    ///< some instances
};

const char* to_string(fault_scope scope) noexcept;

struct scope_finding {
  fault_scope scope = fault_scope::server;
  std::vector<std::string> instances; ///< those affected by a path fault; empty for scope `server`
  double margin = 0; ///< log likelihood ratio of the finding against a fault of the server
};

/// The most likely explanation of the counts: one common failure rate for all instances, or one for
/// a data centre or a set of instances while the rest fails at `baseline_rate`.
scope_finding find_scope(std::span<const instance_counts> counts, double baseline_rate);

/// Counts of one server with its data centre: input to find_faulty_instances.
struct server_counts {
  std::string server;
  std::string data_centre;
  std::vector<instance_counts> counts;
};

struct faulty_instance {
  std::string instance;
  double score = 0;     ///< log likelihood ratio against the other instances' rates
  double bad_share = 0; ///< fraction of its attempts that were bad
  std::uint32_t bad_servers = 0;
};

/// Instances that fail at many servers that are healthy for other instances. Empty when more than a
/// third of the instances match: the fault then lies in links or in the service.
std::vector<faulty_instance> find_faulty_instances(std::span<const server_counts> servers);

} // namespace kingcupshunt::health
