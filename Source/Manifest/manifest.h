// A manifest: the numbered, whole set of routes and services that operators
// publish. Aggregates as decoded; nothing here reads a format.
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

using manifest_version =
    strong_type<struct manifest_version_tag, std::uint64_t>;

// A part of a route's new flows.
struct traffic_share {
  service_name service;
  std::uint32_t weight = 0;
  friend bool operator==(const traffic_share&, const traffic_share&) = default;
};

// Where the new flows to one address and port go.
struct route {
  std::vector<traffic_share> shares;  // At least one weight is above 0.
  std::uint32_t priority = 0;         // 0 is the most urgent.
  friend bool operator==(const route&, const route&) = default;
};

struct manifest_service {
  service_name name;
  // How long a target that has just started bears less.
  milliseconds cold_start{0};
  double cold_requests_per_s = 0;
};

struct manifest {
  manifest_version version;
  std::map<ipv4_endpoint, route> routes;
  std::vector<manifest_service> services;
};

// What is wrong in a manifest: path of the value, and why.
struct manifest_error {
  std::string path;
  std::string reason;
};

// The longest cold start of all services; 0 without one.
milliseconds LongestColdStart(const manifest& published);

}  // namespace lavendertack

#endif  // LAVENDERTACK_MANIFEST_MANIFEST_H_
