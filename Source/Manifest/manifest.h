// Data types of a manifest: the complete, versioned set of routes and services
// that operators publish. They don't depend on the text format of manifests.
#ifndef LAVENDERTACK_MANIFEST_MANIFEST_H_
#define LAVENDERTACK_MANIFEST_MANIFEST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/instant.h"
#include "Common/ipv4.h"
#include "Common/strong_type.h"

namespace lavendertack {

// Set by the operator; higher is newer, 0 means that there is no manifest.
using manifest_version =
    strong_type<struct manifest_version_tag, std::uint64_t>;

// The share of a route's new flows that goes to one service.
struct traffic_share {
  service_name service;
  std::uint32_t weight = 0;  // Relative to the sum of the route's weights.
  friend bool operator==(const traffic_share&, const traffic_share&) = default;
};

// Distribution of the new flows to one address and port over services.
struct route {
  std::vector<traffic_share> shares;  // At least one weight is above 0.
  std::uint32_t priority = 0;         // 0 is the most urgent.
  friend bool operator==(const route&, const route&) = default;
};

// A service and the reduced capacity of its targets after their start.
struct manifest_service {
  service_name name;
  // Time after the start of a target during which its capacity is reduced.
  milliseconds cold_start{0};
  // Capacity of a target during its cold start.
  double cold_requests_per_s = 0;
};

// A decoded manifest.
struct manifest {
  manifest_version version;
  std::map<ipv4_endpoint, route> routes;
  std::vector<manifest_service> services;
};

// An error found while decoding a manifest.
struct manifest_error {
  std::string path;  // Path of the value in the manifest.
  std::string reason;
};

// The longest cold start of all services; 0 if there is no service.
milliseconds LongestColdStart(const manifest& published);

}  // namespace lavendertack

#endif  // LAVENDERTACK_MANIFEST_MANIFEST_H_
