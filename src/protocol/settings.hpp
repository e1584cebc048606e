/// \file
/// The settings file that the platform provides at deployment (see DEPLOY), parsed and validated.
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

/// A team's guaranteed amounts (`cpus`, `gpus`) and its limits (`cpus_max`, `gpus_max`), in CPUs
/// and GPUs; 0 stands for no guarantee or no limit.
struct TeamSettings {
  std::string name;
  double cpus = 0;
  double cpus_max = 0;
  double gpus = 0;
  double gpus_max = 0;
};

/// An objective that users set: jobs of the class finish within this time.
struct FinishObjective {
  std::string job_class;
  Seconds time_limit{0};
};

/// The timeouts that workers apply to the tasks of a gang.
struct GangTimes {
  Seconds assembly_timeout{0};     ///< Longest wait until all tasks of the gang are present.
  Seconds peer_loss_detection{0};  ///< Time until the loss of another task is detected.

  /// How long after its placement an attempt whose tasks are not all present yet still gets a
  /// replacement for a lost task.
  Seconds task_replacement_window() const;
};

/// The settings of one controller; the defaults serve tests only.
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
  std::optional<GangTimes> gang_times;  ///< nullopt: gangs are not supported.
  StateLimits state_limits;             ///< The lower of the current and the announced limits.
  double cloud_rps = 1;                 ///< Requests per second that the cloud accepts.
  Seconds list_lag{5};                  ///< Typical age of the cloud's machine lists.
  double sockets = 256;                 ///< Number of sockets that the process may use.
  Seconds max_clock_offset{0.1};        ///< Bound on the offset between two controllers' clocks.
};

/// Parses and validates the JSON text of a settings file. Throws DecodeError that names the field
/// and the expected value.
Settings parse_settings(const std::string& text);
/// Parses "IPv4:PORT"; throws DecodeError for the field `name` if `text` has another form.
transport::Endpoint parse_endpoint(const std::string& text, const char* name);

}  // namespace poppystile::protocol
