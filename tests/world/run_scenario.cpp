// Plays one scenario file in the simulated world. Exit 0: every rule was kept and every
// expectation met.
//
//   world KEY=VALUE...            seed, seeds (how many, one after the other), until, nodes,
//                                 report_s, lease_s, cancel_s, rps, write_rps, txn_ops,
//                                 lose_answers, list_lag_s
//   type NAME KEY=VALUE...        cpus, memory, price, spot_price, boot, zones, count, spot, fetch,
//                                 cache
//   team NAME cpus= cpus_max=
//   load CLASS KEY=VALUE...       kind, team, priority, first, every, until, tasks, run, cpus,
//                                 memory, images, gb, spot, one_zone, spread, zone, deadline,
//                                 mistaken
//   at SECONDS ACTION KEY=VALUE...    times=N every=SECONDS: more than once
//   expect NAME OP NUMBER         started, accepted, done, cancelled, on:CLASS, state_refused,
//                                 state_requests, state_changes, lapses, stale_releases,
//                                 unheard_starts, cancelled_starts, mistaken_starts,
//                                 machine_seconds; OP is >= or <=
// A node is any, leader, follower, others (all but the leader, for cuts), all (for crashes) or a
// number. Once the last trouble is over, every accepted job must get answers again, and none may
// wait beside room that fits it; and no class, team or class's largest jobs may be left out.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "world/world.hpp"

namespace {

using namespace poppystile;
using world::World;

struct Line {
  int number = 0;
  std::vector<std::string> words;
  std::map<std::string, std::string> values;

  std::string text(const std::string& key, const std::string& otherwise) const {
    const auto it = values.find(key);
    return it == values.end() ? otherwise : it->second;
  }
  double number_of(const std::string& key, double otherwise) const {
    const auto it = values.find(key);
    return it == values.end() ? otherwise : std::stod(it->second);
  }
  bool flag(const std::string& key) const { return text(key, "false") == "true"; }
};

std::vector<std::string> split(const std::string& text, char at) {
  std::vector<std::string> out;
  std::stringstream rest(text);
  for (std::string part; std::getline(rest, part, at);) out.push_back(part);
  return out;
}

std::vector<Line> read_lines(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read " + path);
  std::vector<Line> out;
  int number = 0;
  for (std::string text; std::getline(file, text);) {
    Line line;
    line.number = ++number;
    std::stringstream rest(text.substr(0, text.find('#')));
    for (std::string word; rest >> word;) {
      const auto equals = word.find('=');
      if (equals == std::string::npos || word == ">=" || word == "<=") {
        line.words.push_back(word);
      } else {
        line.values[word.substr(0, equals)] = word.substr(equals + 1);
      }
    }
    if (!line.words.empty()) out.push_back(std::move(line));
  }
  return out;
}

// "5-40" or "12"
double pick(world::EventQueue& queue, const std::string& range) {
  const auto ends = split(range, '-');
  const double low = std::stod(ends.at(0));
  return ends.size() == 1 ? low : queue.uniform(low, std::stod(ends.at(1)));
}

class Scenario {
 public:
  // `turn`: of several seeds, the one that many after the first.
  Scenario(const std::string& path, int turn) : lines_(read_lines(path)) {
    world::WorldSettings settings;
    for (const auto& line : lines_) {
      if (line.words[0] == "world") apply_world(line, settings);
      if (line.words[0] == "team") {
        protocol::TeamSettings team;
        team.name = line.words.at(1);
        team.cpus = line.number_of("cpus", 0);
        team.cpus_max = line.number_of("cpus_max", 0);
        settings.teams.push_back(team);
      }
    }
    settings.seed += static_cast<std::uint64_t>(turn);
    world_ = std::make_unique<World>(settings);
    for (const auto& line : lines_) {
      if (line.words[0] == "type") add_type(line);
      if (line.words[0] == "load") add_load(line);
      if (line.words[0] == "at") add_action(line);
    }
  }

  int seeds() const { return seeds_; }

  int play() {
    world_->start();
    world_->queue().run_until(until_);
    world_->rules().judge_service();
    int failures = 0;
    for (const auto& each : world_->rules().broken()) {
      if (++failures <= most_shown) std::cout << "broken rule: " << each << "\n";
    }
    for (const auto& line : lines_)
      if (line.words[0] == "expect" && !met(line)) ++failures;
    std::cout << "started " << world_->rules().starts() << ", accepted "
              << world_->rules().accepted_jobs() << ", done " << world_->rules().done_jobs()
              << ", failures " << failures << "\n";
    return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
  }

 private:
  static constexpr int most_shown = 10;

  void apply_world(const Line& line, world::WorldSettings& out) {
    until_ = line.number_of("until", 200);
    seeds_ = static_cast<int>(line.number_of("seeds", 1));
    out.seed = static_cast<std::uint64_t>(line.number_of("seed", 1));
    out.nodes = static_cast<int>(line.number_of("nodes", 3));
    out.report_s = line.number_of("report_s", 1);
    out.lease_s = line.number_of("lease_s", 10);
    out.cancel_s = line.number_of("cancel_s", 35);
    out.state_rps = line.number_of("rps", 250);
    out.state_write_rps = line.number_of("write_rps", 40);
    out.txn_ops = static_cast<int>(line.number_of("txn_ops", 32));
    out.lose_answers = line.number_of("lose_answers", 0);
    out.list_lag_s = line.number_of("list_lag_s", 3);
  }

  void add_type(const Line& line) {
    protocol::MachineType type;
    type.name = line.words.at(1);
    type.size = {static_cast<std::int64_t>(line.number_of("cpus", 16) * 1000), 0,
                 static_cast<std::int64_t>(line.number_of("memory", 64) * 1000)};
    type.cache_gb = line.number_of("cache", 50);
    type.fetch_gb_per_s = line.number_of("fetch", 0.5);
    type.price = line.number_of("price", 1);
    type.spot_price = line.number_of("spot_price", 0.3);
    type.boot_s = line.number_of("boot", 20);
    type.zones = split(line.text("zones", "a,b"), ',');
    world_->cloud().add_type(type, static_cast<int>(line.number_of("count", 6)),
                             static_cast<int>(line.number_of("spot", 3)));
  }

  void add_load(const Line& line) {
    const int first = static_cast<int>(line.number_of("first", 0));
    const double from = line.number_of("from", 0.2);
    for (int i = 0; i < first; ++i) world_->queue().at(from, [this, line] { submit(line); });
    const double every = line.number_of("every", 0);
    const double until = line.number_of("until", until_);
    if (every <= 0) return;
    double next = from;
    while (next < until) {
      world_->queue().at(next, [this, line] { submit(line); });
      next += every * world_->queue().uniform(0.5, 1.5);
    }
  }

  void submit(const Line& line) {
    auto& queue = world_->queue();
    protocol::JobSpec job;
    char id[16];
    // Ids come in no order.
    std::snprintf(id, sizeof(id), "req-%06d", static_cast<int>(++jobs_ * 7919 % 1000000));
    job.id = id;
    job.job_class = line.words.at(1);
    job.team = line.text("team", "ops");
    job.kind = line.text("kind", "array") == "service" ? protocol::JobKind::service
                                                       : protocol::JobKind::array;
    const std::string priority = line.text("priority", "normal");
    job.priority = priority == "production" ? protocol::Priority::production
                   : priority == "high"     ? protocol::Priority::high
                   : priority == "low"      ? protocol::Priority::low
                                            : protocol::Priority::normal;
    job.tasks = static_cast<std::uint32_t>(pick(queue, line.text("tasks", "1")));
    job.each = {static_cast<std::int64_t>(line.number_of("cpus", 2) * 1000), 0,
                static_cast<std::int64_t>(line.number_of("memory", 2) * 1000)};
    job.spot = line.flag("spot");
    job.one_zone = line.flag("one_zone");
    job.spread = line.flag("spread");
    if (line.values.contains("zone")) job.zone = line.text("zone", "");
    const int images = static_cast<int>(line.number_of("images", 2));
    job.image = job.job_class + "-" + std::to_string(static_cast<int>(queue.uniform(0, images)));
    job.image_gb = line.number_of("gb", 2);
    job.estimate_s =
        job.kind == protocol::JobKind::service ? 0 : pick(queue, line.text("run", "15"));
    if (line.values.contains("deadline")) job.deadline_s = line.number_of("deadline", 60);
    if (line.flag("mistaken")) world_->rules().mistaken(job.id);
    world_->submit(job);
  }

  void add_action(const Line& line) {
    const double time = std::stod(line.words.at(1));
    const int times = static_cast<int>(line.number_of("times", 1));
    for (int i = 0; i < times; ++i)
      world_->queue().at(time + i * line.number_of("every", 1), [this, line] { act(line); });
  }

  static world::Cut cut_of(const Line& line) {
    world::Cut cut;
    for (const auto& each : split(line.text("what", "state"), ',')) {
      cut.state = cut.state || each == "state";
      cut.workers = cut.workers || each == "workers";
      cut.peers = cut.peers || each == "peers";
      cut.users = cut.users || each == "users";
      cut.watch = cut.watch || each == "watch";
    }
    cut.hold = line.flag("hold");
    cut.refuse = line.flag("refuse");
    return cut;
  }

  void act(const Line& line) {
    const std::string what = line.words.at(2);
    const double for_s = line.number_of("for", 10);
    const int count = static_cast<int>(line.number_of("count", 1));
    world_->rules().troubles_until(world_->queue().now() +
                                   std::max(for_s, line.number_of("back", 5)));
    auto& queue = world_->queue();
    if (what == "crash") {
      if (line.text("node", "any") == "all") {
        for (int i = 0; i < 3; ++i) world_->crash(i, line.number_of("back", 5));
      } else {
        world_->crash(world_->pick_node(line.text("node", "any")), line.number_of("back", 5));
      }
    } else if (what == "state_down") {
      world_->state_down(true);
      queue.after(for_s, [this] { world_->state_down(false); });
    } else if (what == "cloud_down") {
      world_->cloud().set_down(true);
      queue.after(for_s, [this] { world_->cloud().set_down(false); });
    } else if (what == "boot_failures") {
      world_->cloud().set_boot_failures(line.number_of("share", 0.5));
      queue.after(for_s, [this] { world_->cloud().set_boot_failures(0); });
    } else if (what == "cut") {
      const std::string which = line.text("node", "leader");
      std::vector<int> nodes = {world_->pick_node(which == "others" ? "leader" : which)};
      if (which == "others") nodes = world_->all_but(nodes.front());
      for (const int node : nodes) {
        world_->cut(node, cut_of(line));
        queue.after(for_s, [this, node] { world_->heal(node); });
      }
    } else if (what == "cut_zone") {
      world_->cut_zone(line.text("zone", "a"), line.flag("hold"), for_s);
    } else if (what == "freeze") {
      world_->freeze(world_->pick_node(line.text("node", "leader")), for_s);
    } else if (what == "freeze_winner") {
      world_->freeze_next_winner(for_s);
    } else if (what == "repeats") {
      const double most = line.number_of("most", 40);
      world_->repeat_calls(line.number_of("share", 0.2), line.number_of("least", 0.5), most, for_s);
      world_->rules().troubles_until(queue.now() + for_s + most);
    } else if (what == "crash_winner") {
      world_->crash_next_winner(line.number_of("back", 0.2));
    } else if (what == "cut_winner") {
      world_->cut_next_winner(cut_of(line), for_s);
    } else if (what == "deaf") {
      world_->deafen_machines(count, for_s);
    } else if (what == "copies") {
      world_->copy_reports(line.number_of("share", 0.2), line.number_of("least", 2),
                           line.number_of("most", 40), for_s);
      world_->rules().troubles_until(world_->queue().now() + for_s + line.number_of("most", 40));
    } else if (what == "hang") {
      world_->hang_machines(count, for_s);
    } else if (what == "die") {
      world_->kill_machines(count);
    } else if (what == "sick") {
      world_->sicken_machines(count, for_s);
    } else if (what == "take_spot") {
      world_->take_spot(line.number_of("share", 0.5), line.number_of("notice", 0));
    } else if (what == "mute") {
      world_->mute_machines(count, for_s);
    } else if (what == "late_writes") {
      world_->late_writes(line.number_of("share", 0.2), for_s);
      world_->rules().troubles_until(queue.now() + for_s + 12);
    } else if (what == "slow_state") {
      world_->slow_state(line.number_of("share", 1), line.number_of("by", 0.4), for_s);
    } else if (what == "lose_answers") {
      world_->lose_answers(line.number_of("share", 1), for_s);
    } else if (what == "slow_reports") {
      world_->slow_reports(line.number_of("share", 0.3), line.number_of("by", 3), for_s);
    } else if (what == "slow_frames") {
      world_->slow_frames(line.number_of("by", 5), for_s);
    } else if (what == "crash_confirmer") {
      world_->crash_next_confirmer(line.number_of("back", 0.3));
    } else if (what == "cancel_now") {
      world_->cancel_running(count, line.text("class", ""), line.number_of("hang", 0));
    } else if (what == "cancel_at_end") {
      world_->cancel_at_end(line.number_of("share", 0.5), for_s);
    } else if (what == "odd_requests") {
      world_->odd_requests(for_s);
    } else if (what == "cancel" || what == "resubmit") {
      const std::string id = world_->any_job(line.text("class", ""), line.flag("finished"));
      if (id.empty()) return;
      what == "cancel" ? world_->cancel(id) : world_->resubmit(id);
    } else if (what == "ask_unknown") {
      world_->ask_unknown("req-999999");
    } else {
      throw std::runtime_error("line " + std::to_string(line.number) + ": unknown action " + what);
    }
  }

  bool met(const Line& line) const {
    const std::string name = line.words.at(1);
    const double wanted = std::stod(line.words.at(3));
    auto& rules = world_->rules();
    double found = 0;
    if (name == "started")
      found = static_cast<double>(rules.starts());
    else if (name == "accepted")
      found = static_cast<double>(rules.accepted_jobs());
    else if (name == "done")
      found = static_cast<double>(rules.done_jobs());
    else if (name == "cancelled")
      found = static_cast<double>(rules.cancelled_jobs());
    else if (name == "state_refused")
      found = static_cast<double>(world_->state_refused());
    else if (name == "state_requests")
      found = static_cast<double>(world_->state_requests());
    else if (name == "state_changes")
      found = static_cast<double>(world_->state_changes());
    else if (name == "lapses")
      found = static_cast<double>(world_->lapses());
    else if (name == "stale_releases")
      found = static_cast<double>(world_->stale_releases());
    else if (name == "unheard_starts")
      found = static_cast<double>(world_->unheard_starts());
    else if (name == "mistaken_starts")
      found = static_cast<double>(rules.mistaken_starts());
    else if (name == "cancelled_starts")
      found = static_cast<double>(rules.cancelled_starts());
    else if (name == "machine_seconds")
      found = world_->cloud().machine_seconds();
    else if (name.starts_with("on:"))
      found = static_cast<double>(rules.on_now(name.substr(3)));
    else
      throw std::runtime_error("unknown expectation " + name);
    const bool good = line.words.at(2) == ">=" ? found >= wanted : found <= wanted;
    if (!good)
      std::cout << "expected " << name << " " << line.words[2] << " " << wanted << ", found "
                << found << "\n";
    return good;
  }

  std::vector<Line> lines_;
  std::unique_ptr<World> world_;
  double until_ = 200;
  int seeds_ = 1;
  int jobs_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: run_scenario FILE\n";
    return 2;
  }
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_default_logger(spdlog::stderr_logger_st("scenario"));
  spdlog::set_level(level == nullptr ? spdlog::level::off : spdlog::level::from_str(level));
  try {
    int worst = EXIT_SUCCESS;
    int seeds = 1;
    for (int turn = 0; turn < seeds; ++turn) {
      Scenario scenario(argv[1], turn);
      seeds = scenario.seeds();
      worst = std::max(worst, scenario.play());
    }
    return worst;
  } catch (const std::exception& problem) {
    std::cerr << argv[1] << ": " << problem.what() << "\n";
    return 2;
  }
}
