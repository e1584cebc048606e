// Case 3: an array waits for longer than 90 s beside machines with room, which two gangs that
// can't begin reserve in turn. See claim.txt.
#include "case.hpp"

using namespace standin;

namespace {

constexpr double waiting_bound_s = 90;  // kit/more/hunt/LATER.md
// kit/change/LATER.md: index-rebuild comes 3.6 times a minute, and "several times as often" in a burst.
constexpr double second_gang_after_s = 16.5;
constexpr double machine_cores = 16;
constexpr double task_cores = 2;

Site next_site() {
  Site site;  // kit/change/hanafy-registry-next.toml, with two machines of one zone.
  site.most_machines = 2;
  return site;
}

Json gang(const Deployment& deployment, const std::string& id) {
  Json job = deployment.submission(id, "gang", 16, task_cores, 3.2);
  job["lane"] = "index-rebuild";
  job["one_zone"] = true;
  job["guess_s"] = 50.0;
  job["mark_every_s"] = 20.0;
  job["mark_cost_s"] = 2.0;
  return job;
}

/// Cores in use on each machine at present.
std::map<std::string, double> cores_in_use(Deployment& deployment) {
  std::map<std::string, double> used;
  for (const auto& event : deployment.ledger.events())
    used[event.machine] += event.what == "on" ? task_cores : -task_cores;
  return used;
}

}  // namespace

int main(int argc, char** argv) {
  static const Site site = next_site();
  return run_case(argc, argv, site, 119, [](Deployment& deployment) {
    for (int i = 0; i < Deployment::controllers; ++i) deployment.start(i);
    for (int i = 0; i < Deployment::controllers; ++i)
      need(deployment.wait_up(i, 10), "a controller does not start");
    // A long task and some short ones, so that both machines are rented and have the image.
    need(submit(deployment, deployment.submission("req-000001", "sweep", 1, task_cores, 2.1), 120,
                10),
         "the long array is not accepted");
    need(submit(deployment, deployment.submission("req-000002", "sweep", 15, task_cores, 2.1), 1,
                10),
         "the short array is not accepted");
    need(wait_stage(deployment, "req-000002", "done", 20), "the short array does not end");
    need(submit(deployment, gang(deployment, "req-000003"), 50, 5), "the gang is not accepted");
    const double gang_at = now();
    const Json array = deployment.submission("req-000004", "sweep", 4, task_cores, 2.1);
    need(submit(deployment, array, 5, 5), "the array is not accepted");
    sleep_s(gang_at + second_gang_after_s - now());
    if (with_trouble())
      need(submit(deployment, gang(deployment, "req-000005"), 50, 5),
           "the second gang is not accepted");
    const double over_at = now();
    record().line("the trouble is over");

    double room_since = over_at;
    double longest = 0;
    while (now() < over_at + waiting_bound_s + 0.5 && now() < 118) {
      sleep_s(0.25);
      const auto used = cores_in_use(deployment);
      bool has_room = false;
      for (const auto& [machine, cores] : used)
        has_room = has_room || cores + task_cores <= machine_cores;
      bool has_begun = false;
      for (int i = 0; i < 4; ++i)
        for (const auto& event : deployment.ledger.events())
          has_begun = has_begun || event.piece == "req-000004/" + std::to_string(i);
      if (has_begun) break;
      if (!has_room) room_since = now();
      longest = std::max(longest, now() - room_since);
    }
    for (const auto& [machine, cores] : cores_in_use(deployment))
      record().line("machine " + machine + ": " + std::to_string(cores) + " of 16 cores in use");
    return std::pair(longest >= waiting_bound_s ? broken : held,
                     "the array waited " + std::to_string(longest) +
                         " s, counted from the end of the trouble, beside a machine with room");
  });
}
