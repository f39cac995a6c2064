// Settings of one process of a fleet: an entry instance, which forwards
// callers' packets, or a control instance. The settings name only seeds; the
// other instances of the fleet are discovered at run time.
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

// Settings of an entry instance: the addresses that it listens on.
struct entry_role_settings {
  ipv4_endpoint packets;    // UDP, callers' packets.
  ipv4_endpoint readiness;  // HTTP, readiness probes.
  double link_mbps = 0;     // Rate of the network link, Mbit/s; 0 if unknown.
};
// Settings of a control instance.
struct control_role_settings {
  ipv4_endpoint calls;  // HTTP: operators' orders and targets' reports.
  std::string data_folder;
  // True when the whole fleet starts for the first time: this instance may then
  // bootstrap the agreed log.
  bool bootstraps_fleet = false;
  // Number of control instances whose disks may be lost at the same time.
  std::size_t tolerated_losses = 0;
};

struct fleet_settings {
  std::string host_name;  // Name of the host, for the log.
  // Address of this instance. A control instance is also named by it.
  ipv4_address self;
  data_centre_name data_centre;
  // Control instances to contact first.
  std::vector<ipv4_address> seeds;
  // TCP port on which control instances listen, and UDP port on which entry
  // instances receive their announcements.
  port_number peer_port;
  port_number metrics_port;            // HTTP port for metrics and state.
  milliseconds heartbeat_interval{0};  // Time between two reports of a target.
  milliseconds stop_within{0};         // Time between SIGTERM and SIGKILL.
  // Targets that are slow or fail are detected and get fewer new flows.
  bool observe_targets = false;
  std::variant<entry_role_settings, control_role_settings> role;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONFIG_FLEET_SETTINGS_H_
