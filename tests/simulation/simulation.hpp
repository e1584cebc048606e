// The simulated world: controllers (the real code), state service, cloud, workers, users, faults.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/controller.hpp"
#include "simulation/cloud.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/gangs.hpp"
#include "simulation/invariant_checker.hpp"
#include "simulation/state_service.hpp"
#include "simulation/worker.hpp"

namespace poppystile::simulation {

struct SimulationSettings {
  int nodes = 3;
  std::uint64_t seed = 1;
  double heartbeat_interval_s = 1, lease_s = 10, cancel_s = 35;
  double state_rps = 250, state_write_rps = 40;
  int txn_ops = 32;
  // Of the settings' `state.next`; the nodes know them from the start.
  std::optional<protocol::StateLimits> next_limits;
  double list_lag_s = 3;
  double lose_answers = 0;  // share of the state service's answers that never arrive
  GangTiming gang_times;
  std::vector<std::string> zones = {"a", "b"};
  std::vector<protocol::TeamSettings> teams;
};

// What a node cannot reach or be reached by.
struct Cut {
  bool state = false, workers = false, peers = false, users = false;
  bool watch = false;   // only the state service's watches hang
  bool hold = false;    // what was sent is delivered when the cut ends
  bool refuse = false;  // the state service answers 503; its open watches wait
};

class Simulation {
 public:
  explicit Simulation(const SimulationSettings& settings);
  ~Simulation();

  EventQueue& queue() { return queue_; }
  Cloud& cloud() { return *cloud_; }
  InvariantChecker& invariants() { return invariants_; }
  Gangs& gangs() { return gangs_; }
  void start();

  // Users.
  void submit(const protocol::JobSpec& job);
  void resubmit(const std::string& id);
  void cancel(const std::string& id);
  void ask_unknown(const std::string& id);
  // So many running jobs are called off at once; their machines hang that long, eight at most.
  void cancel_running(int count, const std::string& job_class, double hang_s);
  // That share of the jobs is called off at the moment at which its last task completes.
  void cancel_at_end(double share, double for_s);
  // Submissions of unfinished jobs again, cancellations of done ones, and requests that are wrong.
  void odd_requests(double for_s);
  std::string any_job(const std::string& job_class, bool finished) const;

  // Faults. A node is "any", "leader", "follower", or a number.
  int pick_node(const std::string& which);
  std::vector<int> all_but(int node) const;
  void crash(int node, double back_after_s);
  void cut(int node, const Cut& cut);
  void heal(int node);
  // What is in the zone, controllers and workers, reaches only what is in it.
  void cut_zone(const std::string& zone, bool hold, double for_s);
  // The state service's limits fall to those of `next_limits`.
  void lower_state_limits();
  void state_down(bool down) { state_->set_down(down); }
  void hang_machines(int count, double for_s);
  void kill_machines(int count);
  void sicken_machines(int count, double for_s);
  void take_spot(double share, double notice_s);
  // Reports arrive, but nothing reaches these machines.
  void deafen_machines(int count, double for_s);
  // Copies of some reports arrive once more, this much later, at any node.
  void copy_reports(double share, double least_s, double most_s, double for_s);
  // The process stands still; its clocks go on, and what comes in waits.
  void freeze(int node, double for_s);
  // These machines reach no controller.
  void mute_machines(int count, double for_s);
  // That share of transactions gets no answer and is carried out 2 to 12 s later.
  void late_writes(double share, double for_s);
  // That share of the state service's answers is this much slower.
  void slow_state(double share, double by_s, double for_s);
  // That share of the state service's answers is lost.
  void lose_answers(double share, double for_s);
  // That share of the answers to reports is held up this long.
  void slow_reports(double share, double by_s, double for_s);
  // Frames between controllers arrive this much later.
  void slow_frames(double by_s, double for_s);
  // The next node that tells a user of a cancellation ends right after.
  void crash_next_confirmer(double back_after_s) { crash_confirmer_ = back_after_s; }
  // Calls that were carried out, users' and the nodes' own, are carried out once more.
  void repeat_calls(double share, double least_s, double most_s, double for_s);
  // The next time that somebody wins an election, it crashes at once.
  void crash_next_winner(double back_after_s) { crash_winner_ = back_after_s; }
  // The same, but it is cut off before it has read what its predecessors wrote.
  void cut_next_winner(const Cut& cut, double for_s);
  // The same, but it stands still.
  void freeze_next_winner(double for_s) { freeze_winner_s_ = for_s; }

  std::size_t accepted() const { return invariants_.accepted_jobs(); }
  std::uint64_t state_refused() const { return state_->refused(); }
  std::uint64_t state_invalid() const { return state_->invalid(); }
  std::uint64_t state_requests() const { return state_->requests(); }
  std::uint64_t state_changes() const { return state_->changes(); }
  // Releases asked for by a node while another led under a higher token.
  std::uint64_t stale_releases() const { return stale_releases_; }
  // Answers with starts that deaf machines did not hear.
  std::uint64_t max_unacknowledged_starts() const { return unheard_starts_; }
  std::uint64_t lapses() const;  // leases that ended on machines that were neither hung nor deaf

 private:
  struct ControllerProcess;

  void boot(int node);
  void user_call(const std::string& method, const std::string& target, const std::string& body,
                 std::function<void(transport::HttpResponse)> done);
  void poll(const std::string& id);
  void send_report(const std::string& node, const Worker& from, const std::string& body,
                   Worker::Reply reply);
  std::vector<Worker*> some_workers(int count);
  void sweep();
  void look_for_waiting_jobs();
  // A machine beside which the job waits with room for it; empty when there is none.
  std::string waits_beside(const std::string& id) const;
  void odd_request(int turn);
  // Spells of the same kind must not overlap, or touch: the end of one would undo the next.
  void set_for(double& knob, double value, double for_s);

  SimulationSettings settings_;
  EventQueue queue_;
  InvariantChecker invariants_;
  Gangs gangs_;
  std::unique_ptr<StateService> state_;
  std::unique_ptr<Cloud> cloud_;
  std::vector<std::unique_ptr<ControllerProcess>> controllers_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Worker>> gone_;
  std::map<std::string, std::string> bodies_;
  std::set<std::string> cancelling_;
  std::set<std::string> finished_;
  std::set<std::string> deaf_;  // machines
  double copy_share_ = 0, copy_least_s_ = 0, copy_most_s_ = 0;
  double crash_winner_ = -1;
  double crash_confirmer_ = -1;
  double late_writes_ = 0;
  double slow_share_ = 0, slow_by_s_ = 0;
  double slow_reports_ = 0, slow_reports_by_s_ = 0;
  double cancel_at_end_ = 0;
  double slow_frames_by_s_ = 0;
  std::string zone_apart_;
  double odd_until_ = 0;
  double repeat_share_ = 0, repeat_least_s_ = 0, repeat_most_s_ = 0;
  double freeze_winner_s_ = -1;
  double cut_winner_s_ = -1;
  Cut winners_cut_;
  std::uint64_t lapses_gone_ = 0;
  std::uint64_t stale_releases_ = 0;
  std::uint64_t unheard_starts_ = 0;
};

}  // namespace poppystile::simulation
