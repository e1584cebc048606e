// The settings file that the platform hands over (DEPLOY), checked.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "clock.hpp"
#include "protocol/state_limits.hpp"
#include "transport/http.hpp"

namespace poppystile::protocol {

struct PeerSettings {
  std::string name;
  std::string zone;
  transport::Endpoint address;
};

struct TeamSettings {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // 0: none
};

// Of the users' aims, those on when jobs finish: within so many seconds for a class.
struct FinishAim {
  std::string job_class;
  Seconds within{0};
};

// How long workers wait for the other tasks of a gang.
struct GangTimes {
  Seconds assembly_timeout{0};     // for the gang to be complete
  Seconds peer_loss_detection{0};  // until the loss of another task is noticed

  /// How long after the placement of an attempt that is still assembling a lost task is replaced.
  Seconds task_replacement_window() const;
};

struct Settings {
  std::string name;
  std::string zone;
  transport::Endpoint listen;
  transport::Endpoint peer_listen;
  std::vector<PeerSettings> peers;
  transport::Endpoint cloud;
  transport::Endpoint state;
  std::vector<std::string> zones;
  std::vector<TeamSettings> teams;
  std::vector<FinishAim> finish_aims;
  Seconds heartbeat_interval{1};
  Seconds worker_lease{10};
  Seconds cancel_timeout{30};
  std::optional<GangTimes> gang_times;  // without them no gang can be run
  StateLimits state_limits;             // the lower of the present and the coming ones
  double cloud_rps = 1;
  Seconds list_lag{5};
  double sockets = 256;
  Seconds max_clock_offset{0.1};
};

// Throws DecodeError naming the field and what was expected.
Settings parse_settings(const std::string& text);
transport::Endpoint parse_endpoint(const std::string& text, const char* name);

}  // namespace poppystile::protocol
