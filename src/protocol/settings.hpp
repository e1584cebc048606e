/// \file
/// The settings file that the platform hands over (DEPLOY), checked.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "clock.hpp"
#include "protocol/state_limits.hpp"
#include "transport/http.hpp"

namespace poppystile::protocol {

/// Another controller of the same cluster.
struct PeerSettings {
  std::string name;
  std::string zone;
  transport::Endpoint address;
};

/// What a team is given, and its limits; 0 for none.
struct TeamSettings {
  std::string name;
  double cpus = 0;
  double cpus_max = 0;
  double gpus = 0;
  double gpus_max = 0;
};

/// A users' aim: jobs of the class finish within this time.
struct FinishObjective {
  std::string job_class;
  Seconds within{0};
};

/// How long workers wait for the other tasks of a gang.
struct GangTimes {
  Seconds assembly_timeout{0};     ///< For the gang to be complete.
  Seconds peer_loss_detection{0};  ///< Until the loss of another task is noticed.

  /// How long after the placement of an attempt that is still assembling a lost task is replaced.
  Seconds task_replacement_window() const;
};

/// The settings of one controller; the defaults are those of tests.
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
  std::vector<FinishObjective> finish_objectives;
  Seconds heartbeat_interval{1};
  Seconds worker_lease{10};
  Seconds cancel_timeout{30};
  std::optional<GangTimes> gang_times;  ///< Nothing: no gang can be run.
  StateLimits state_limits;             ///< The lower of the present and the announced ones.
  double cloud_rps = 1;
  Seconds list_lag{5};
  double sockets = 256;
  Seconds max_clock_offset{0.1};
};

/// Throws DecodeError naming the field and what was expected.
Settings parse_settings(const std::string& text);
/// Reads IPv4:PORT; throws DecodeError naming the field `name`.
transport::Endpoint parse_endpoint(const std::string& text, const char* name);

}  // namespace poppystile::protocol
