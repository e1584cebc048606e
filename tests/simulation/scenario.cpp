#include "simulation/scenario.hpp"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <stdexcept>

namespace poppystile::simulation {

namespace {

constexpr int max_shown = 10;              // broken rules
constexpr double late_write_max_s = 12;    // after which a late write has been carried out
constexpr double default_fault_s = 10;     // a fault's `for`
constexpr double default_restart_s = 5;    // a crash's `back`
constexpr double default_copy_max_s = 40;  // a copy's `most`

double for_s(const Statement& statement) { return statement.number("for", default_fault_s); }
int how_many(const Statement& statement) { return statement.count("count", 1); }

// "5-40" or "12"
double pick(EventQueue& queue, const std::string& range) {
  const auto ends = split(range, '-');
  const double low = std::stod(ends.at(0));
  return ends.size() == 1 ? low : queue.uniform(low, std::stod(ends.at(1)));
}

protocol::Priority priority_of(const std::string& word) {
  if (word == "production") return protocol::Priority::production;
  if (word == "high") return protocol::Priority::high;
  if (word == "low") return protocol::Priority::low;
  return protocol::Priority::normal;
}

protocol::JobKind kind_of(const std::string& word) {
  if (word == "service") return protocol::JobKind::service;
  if (word == "gang") return protocol::JobKind::gang;
  return protocol::JobKind::array;
}

Cut cut_of(const Statement& statement) {
  Cut cut;
  for (const auto& each : split(statement.text("what", "state"), ',')) {
    cut.state = cut.state || each == "state";
    cut.workers = cut.workers || each == "workers";
    cut.peers = cut.peers || each == "peers";
    cut.users = cut.users || each == "users";
    cut.watch = cut.watch || each == "watch";
  }
  cut.hold = statement.flag("hold");
  cut.refuse = statement.flag("refuse");
  return cut;
}

protocol::TeamSettings team_of(const Statement& statement) {
  protocol::TeamSettings team;
  team.name = statement.words.at(1);
  team.cpus = statement.number("cpus", 0);
  team.cpus_max = statement.number("cpus_max", 0);
  return team;
}

}  // namespace

Scenario::Scenario(const std::string& path, int turn) : statements_(read_scenario_file(path)) {
  SimulationSettings settings;
  for (const auto& each : statements_) {
    if (each.words[0] == "world") read_world(each, settings);
    if (each.words[0] == "team") settings.teams.push_back(team_of(each));
  }
  settings.seed += static_cast<std::uint64_t>(turn);
  world_ = std::make_unique<Simulation>(settings);
  for (const auto& each : statements_) {
    if (each.words[0] == "type") add_type(each);
    if (each.words[0] == "load") add_load(each);
    if (each.words[0] == "at") add_action(each);
  }
}

bool Scenario::play() {
  world_->start();
  world_->queue().run_until(until_);
  world_->invariants().judge_service();
  int failures = 0;
  for (const auto& each : world_->invariants().broken())
    if (++failures <= max_shown) std::cout << "broken rule: " << each << "\n";
  for (const auto& each : statements_)
    if (each.words[0] == "expect" && !met(each)) ++failures;
  std::cout << "started " << world_->invariants().starts() << ", accepted "
            << world_->invariants().accepted_jobs() << ", done " << world_->invariants().done_jobs()
            << ", failures " << failures << "\n";
  return failures == 0;
}

// --- set-up ---

void Scenario::read_world(const Statement& statement, SimulationSettings& out) {
  until_ = statement.number("until", 200);
  seeds_ = statement.count("seeds", 1);
  out.seed = static_cast<std::uint64_t>(statement.number("seed", 1));
  out.nodes = statement.count("nodes", 3);
  out.heartbeat_interval_s = statement.number("report_s", 1);
  out.lease_s = statement.number("lease_s", 10);
  out.cancel_s = statement.number("cancel_s", 35);
  out.state_rps = statement.number("rps", 250);
  out.state_write_rps = statement.number("write_rps", 40);
  out.txn_ops = statement.count("txn_ops", 32);
  if (statement.values.contains("next_value_kb"))
    out.next_limits = {out.state_rps, statement.number("next_write_rps", 28),
                       statement.number("next_value_kb", 2), statement.count("next_txn_ops", 8)};
  out.lose_answers = statement.number("lose_answers", 0);
  out.list_lag_s = statement.number("list_lag_s", 3);
  out.gang_times = {statement.number("gang_wait_s", 40), statement.number("gang_peer_s", 6)};
}

void Scenario::add_type(const Statement& statement) {
  protocol::MachineType type;
  type.name = statement.words.at(1);
  type.size = {static_cast<std::int64_t>(statement.number("cpus", 16) * 1000), 0,
               static_cast<std::int64_t>(statement.number("memory", 64) * 1000)};
  type.cache_gb = statement.number("cache", 50);
  type.fetch_gb_per_s = statement.number("fetch", 0.5);
  type.price = statement.number("price", 1);
  type.spot_price = statement.number("spot_price", 0.3);
  type.boot_time = Seconds{statement.number("boot", 20)};
  type.zones = split(statement.text("zones", "a,b"), ',');
  world_->cloud().add_type(type, statement.count("count", 6), statement.count("spot", 3));
}

void Scenario::add_load(const Statement& statement) {
  auto& queue = world_->queue();
  const int first = statement.count("first", 0);
  const double from = statement.number("from", 0.2);
  for (int i = 0; i < first; ++i) queue.at(from, [this, statement] { submit(statement); });
  const double every = statement.number("every", 0);
  const double until = statement.number("until", until_);
  if (every <= 0) return;
  double next = from;
  while (next < until) {
    queue.at(next, [this, statement] { submit(statement); });
    next += every * queue.uniform(0.5, 1.5);
  }
}

void Scenario::submit(const Statement& load) {
  const protocol::JobSpec job = make_job(load);
  if (load.flag("mistaken")) world_->invariants().mistaken(job.id);
  world_->submit(job);
}

protocol::JobSpec Scenario::make_job(const Statement& load) {
  auto& queue = world_->queue();
  protocol::JobSpec job;
  char id[16];
  // Ids come in no order.
  std::snprintf(id, sizeof(id), "req-%06d", static_cast<int>(++jobs_ * 7919 % 1000000));
  job.id = id;
  job.job_class = load.words.at(1);
  job.team = load.text("team", "ops");
  job.kind = kind_of(load.text("kind", "array"));
  job.priority = priority_of(load.text("priority", "normal"));
  job.tasks = static_cast<std::uint32_t>(pick(queue, load.text("tasks", "1")));
  job.each = {static_cast<std::int64_t>(load.number("cpus", 2) * 1000), 0,
              static_cast<std::int64_t>(load.number("memory", 2) * 1000)};
  job.spot = load.flag("spot");
  job.one_zone = load.flag("one_zone");
  job.spread = load.flag("spread");
  if (load.values.contains("zone")) job.zone = load.text("zone", "");
  const int images = load.count("images", 2);
  job.image = job.job_class + "-" + std::to_string(static_cast<int>(queue.uniform(0, images)));
  job.image_gb = load.number("gb", 2);
  job.estimated_run_time =
      Seconds{job.kind == protocol::JobKind::service ? 0 : pick(queue, load.text("run", "15"))};
  job.checkpoint_interval = Seconds{load.number("checkpoint", 0)};
  job.checkpoint_save_time = Seconds{load.number("save", 0)};
  if (load.values.contains("deadline")) job.deadline = Seconds{load.number("deadline", 60)};
  return job;
}

// --- actions ---

void Scenario::add_action(const Statement& statement) {
  const double time = std::stod(statement.words.at(1));
  const int times = statement.count("times", 1);
  for (int i = 0; i < times; ++i)
    world_->queue().at(time + i * statement.number("every", 1),
                       [this, statement] { act(statement); });
}

void Scenario::act(const Statement& statement) {
  const auto action = actions().find(statement.words.at(2));
  if (action == actions().end())
    throw std::runtime_error("line " + std::to_string(statement.line) + ": unknown action " +
                             statement.words.at(2));
  world_->invariants().troubles_until(
      world_->queue().now() +
      std::max(for_s(statement), statement.number("back", default_restart_s)));
  action->second(*this, statement);
}

const std::map<std::string, Scenario::Action>& Scenario::actions() {
  static const std::map<std::string, Action> all = [] {
    std::map<std::string, Action> out = controller_actions();
    out.merge(machine_actions());
    out.merge(service_actions());
    out.merge(user_actions());
    return out;
  }();
  return all;
}

std::map<std::string, Scenario::Action> Scenario::controller_actions() {
  return {
      {"crash", &Scenario::crash},
      {"cut", &Scenario::cut},
      {"cut_zone",
       [](Scenario& self, const Statement& s) {
         self.world_->cut_zone(s.text("zone", "a"), s.flag("hold"), for_s(s));
       }},
      {"freeze",
       [](Scenario& self, const Statement& s) {
         self.world_->freeze(self.world_->pick_node(s.text("node", "leader")), for_s(s));
       }},
      {"freeze_winner",
       [](Scenario& self, const Statement& s) { self.world_->freeze_next_winner(for_s(s)); }},
      {"crash_winner",
       [](Scenario& self, const Statement& s) {
         self.world_->crash_next_winner(s.number("back", 0.2));
       }},
      {"cut_winner", [](Scenario& self,
                        const Statement& s) { self.world_->cut_next_winner(cut_of(s), for_s(s)); }},
      {"crash_confirmer",
       [](Scenario& self, const Statement& s) {
         self.world_->crash_next_confirmer(s.number("back", 0.3));
       }},
      {"slow_frames",
       [](Scenario& self, const Statement& s) {
         self.world_->slow_frames(s.number("by", 5), for_s(s));
       }},
  };
}

std::map<std::string, Scenario::Action> Scenario::machine_actions() {
  return {
      {"deaf", [](Scenario& self,
                  const Statement& s) { self.world_->deafen_machines(how_many(s), for_s(s)); }},
      {"mute", [](Scenario& self,
                  const Statement& s) { self.world_->mute_machines(how_many(s), for_s(s)); }},
      {"hang", [](Scenario& self,
                  const Statement& s) { self.world_->hang_machines(how_many(s), for_s(s)); }},
      {"die", [](Scenario& self, const Statement& s) { self.world_->kill_machines(how_many(s)); }},
      {"sick", [](Scenario& self,
                  const Statement& s) { self.world_->sicken_machines(how_many(s), for_s(s)); }},
      {"take_spot",
       [](Scenario& self, const Statement& s) {
         self.world_->take_spot(s.number("share", 0.5), s.number("notice", 0));
       }},
      {"copies",
       [](Scenario& self, const Statement& s) {
         const double latest = s.number("most", default_copy_max_s);
         self.world_->copy_reports(s.number("share", 0.2), s.number("least", 2), latest, for_s(s));
         self.world_->invariants().troubles_until(self.world_->queue().now() + for_s(s) + latest);
       }},
      {"slow_reports",
       [](Scenario& self, const Statement& s) {
         self.world_->slow_reports(s.number("share", 0.3), s.number("by", 3), for_s(s));
       }},
  };
}

std::map<std::string, Scenario::Action> Scenario::service_actions() {
  return {
      {"state_down",
       [](Scenario& self, const Statement& s) {
         Simulation& world = *self.world_;
         world.state_down(true);
         world.queue().after(for_s(s), [&world] { world.state_down(false); });
       }},
      {"lower_limits", [](Scenario& self, const Statement&) { self.world_->lower_state_limits(); }},
      {"cloud_down",
       [](Scenario& self, const Statement& s) {
         Simulation& world = *self.world_;
         world.cloud().set_down(true);
         world.queue().after(for_s(s), [&world] { world.cloud().set_down(false); });
       }},
      {"boot_failures",
       [](Scenario& self, const Statement& s) {
         Simulation& world = *self.world_;
         world.cloud().set_boot_failures(s.number("share", 0.5));
         world.queue().after(for_s(s), [&world] { world.cloud().set_boot_failures(0); });
       }},
      {"repeats",
       [](Scenario& self, const Statement& s) {
         const double latest = s.number("most", default_copy_max_s);
         self.world_->repeat_calls(s.number("share", 0.2), s.number("least", 0.5), latest,
                                   for_s(s));
         self.world_->invariants().troubles_until(self.world_->queue().now() + for_s(s) + latest);
       }},
      {"late_writes",
       [](Scenario& self, const Statement& s) {
         self.world_->late_writes(s.number("share", 0.2), for_s(s));
         self.world_->invariants().troubles_until(self.world_->queue().now() + for_s(s) +
                                                  late_write_max_s);
       }},
      {"slow_state",
       [](Scenario& self, const Statement& s) {
         self.world_->slow_state(s.number("share", 1), s.number("by", 0.4), for_s(s));
       }},
      {"lose_answers",
       [](Scenario& self, const Statement& s) {
         self.world_->lose_answers(s.number("share", 1), for_s(s));
       }},
  };
}

std::map<std::string, Scenario::Action> Scenario::user_actions() {
  return {
      {"cancel_now",
       [](Scenario& self, const Statement& s) {
         self.world_->cancel_running(how_many(s), s.text("class", ""), s.number("hang", 0));
       }},
      {"cancel_at_end",
       [](Scenario& self, const Statement& s) {
         self.world_->cancel_at_end(s.number("share", 0.5), for_s(s));
       }},
      {"odd_requests",
       [](Scenario& self, const Statement& s) { self.world_->odd_requests(for_s(s)); }},
      {"cancel", &Scenario::cancel_or_resubmit},
      {"resubmit", &Scenario::cancel_or_resubmit},
      {"ask_unknown",
       [](Scenario& self, const Statement&) { self.world_->ask_unknown("req-999999"); }},
  };
}

void Scenario::crash(const Statement& statement) {
  const double back = statement.number("back", default_restart_s);
  const std::string which = statement.text("node", "any");
  if (which != "all") return world_->crash(world_->pick_node(which), back);
  for (int i = 0; i < 3; ++i) world_->crash(i, back);
}

void Scenario::cut(const Statement& statement) {
  const std::string which = statement.text("node", "leader");
  std::vector<int> nodes = {world_->pick_node(which == "others" ? "leader" : which)};
  if (which == "others") nodes = world_->all_but(nodes.front());
  for (const int node : nodes) {
    world_->cut(node, cut_of(statement));
    world_->queue().after(for_s(statement), [this, node] { world_->heal(node); });
  }
}

void Scenario::cancel_or_resubmit(const Statement& statement) {
  const std::string id = world_->any_job(statement.text("class", ""), statement.flag("finished"));
  if (id.empty()) return;
  statement.words.at(2) == "cancel" ? world_->cancel(id) : world_->resubmit(id);
}

// --- expectations ---

const std::map<std::string, Scenario::Count>& Scenario::counts() {
  static const auto of_rules = [](auto count) {
    return [count](Scenario& self) {
      return static_cast<double>((self.world_->invariants().*count)());
    };
  };
  static const auto of_world = [](auto count) {
    return [count](Scenario& self) { return static_cast<double>((*self.world_.*count)()); };
  };
  static const auto of_gangs = [](auto count) {
    return [count](Scenario& self) { return static_cast<double>((self.world_->gangs().*count)()); };
  };
  static const std::map<std::string, Count> all = {
      {"started", of_rules(&InvariantChecker::starts)},
      {"accepted", of_rules(&InvariantChecker::accepted_jobs)},
      {"done", of_rules(&InvariantChecker::done_jobs)},
      {"cancelled", of_rules(&InvariantChecker::cancelled_jobs)},
      {"mistaken_starts", of_rules(&InvariantChecker::mistaken_starts)},
      {"cancelled_starts", of_rules(&InvariantChecker::cancelled_starts)},
      {"state_refused", of_world(&Simulation::state_refused)},
      {"gangs_begun", of_gangs(&Gangs::begun)},
      {"gangs_saved", of_gangs(&Gangs::saved)},
      {"gangs_failed", of_gangs(&Gangs::failed)},
      {"gangs_incomplete", of_gangs(&Gangs::incomplete)},
      {"state_invalid", of_world(&Simulation::state_invalid)},
      {"state_requests", of_world(&Simulation::state_requests)},
      {"state_changes", of_world(&Simulation::state_changes)},
      {"lapses", of_world(&Simulation::lapses)},
      {"stale_releases", of_world(&Simulation::stale_releases)},
      {"unheard_starts", of_world(&Simulation::max_unacknowledged_starts)},
      {"machine_seconds", [](Scenario& self) { return self.world_->cloud().machine_seconds(); }},
  };
  return all;
}

bool Scenario::met(const Statement& expectation) {
  const std::string& name = expectation.words.at(1);
  const std::string& op = expectation.words.at(2);
  const double wanted = std::stod(expectation.words.at(3));
  double found = 0;
  if (name.starts_with("on:")) {
    found = static_cast<double>(world_->invariants().on_now(name.substr(3)));
  } else if (const auto count = counts().find(name); count != counts().end()) {
    found = count->second(*this);
  } else {
    throw std::runtime_error("unknown expectation " + name);
  }
  const bool good = op == ">=" ? found >= wanted : found <= wanted;
  if (!good)
    std::cout << "expected " << name << " " << op << " " << wanted << ", found " << found << "\n";
  return good;
}

}  // namespace poppystile::simulation
