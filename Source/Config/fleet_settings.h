// Settings of one process of a fleet: entry instances that forward callers'
// packets, and control instances. Instances of a fleet find each other; no
// settings list them.
#ifndef LAVENDERTACK_CONFIG_FLEET_SETTINGS_H_
#define LAVENDERTACK_CONFIG_FLEET_SETTINGS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/instant.h"
#include "Common/ipv4.h"
#include "Common/strong_type.h"

namespace lavendertack {

// What an entry instance listens on.
struct entry_addresses {
  ipv4_endpoint packets;    // UDP.
  ipv4_endpoint readiness;  // HTTP.
};
// What a control instance listens on.
struct control_addresses {
  ipv4_endpoint calls;  // HTTP: operators' orders, targets' reports.
  std::string data_folder;
  // The whole fleet starts for the first time.
  bool founds_fleet = false;
  // Disks that may be lost at the same time.
  std::size_t tolerated_losses = 0;
};

struct fleet_settings {
  std::string machine;  // For the log.
  // Names of control instances are their IPv4 addresses.
  ipv4_address self;
  data_centre_name data_centre;
  std::vector<ipv4_address> seeds;
  port_number peer_port;     // Control instances listen for other instances.
  port_number metrics_port;  // HTTP.
  milliseconds heartbeat_interval{0};  // Between two reports of a target.
  milliseconds stop_within{0};  // From the signal to stop until the kill.
  std::variant<entry_addresses, control_addresses> role;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONFIG_FLEET_SETTINGS_H_
