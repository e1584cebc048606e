/// \file
/// Case 7: a job bound to one zone that loses its machine is left waiting beside a free machine.
/// Arguments: run command, folder, record, 1 with and 0 without the disruption.
#include "../standins-2/deployment.hpp"

using namespace review;

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  Record::get().open(argv[3]);
  const bool trouble = std::string(argv[4]) != "0";
  Options options;
  options.capacity = 48;
  options.types = {{"nile-16", 16, 128, 35, options.zones}, {"delta-32", 32, 64, 50, options.zones}};
  Deployment d(argv[1], argv[2], options);
  // Three machines are up from the start: two in alex-hall, one in giza-hall.
  const std::string lost = d.cloud->add("nile-16", "alex-hall");
  const std::string busy = d.cloud->add("delta-32", "alex-hall");
  const std::string spare = d.cloud->add("nile-16", "giza-hall");
  d.start_all();
  if (!d.wait_until_up(15)) {
    RECORD("the controllers are not up");
    return 2;
  }
  // The controllers know all three machines before there is work, so no further one is needed.
  const auto all_known = [&] {
    const auto workers = d.cloud->workers();
    return workers.size() == 3 && std::all_of(workers.begin(), workers.end(), [](const auto& each) { return each->baton() > 0; });
  };
  for (const double end = now_s() + 15; now_s() < end && !all_known();) sleep_s(0.05);
  if (!all_known()) return 2;
  sleep_s(2.5);
  const auto count_running = [&](const std::string& job, int pieces) {
    int running = 0;
    for (int i = 0; i < pieces; ++i) running += d.checker.is_anywhere(job + "/" + std::to_string(i));
    return running;
  };
  const auto count_done = [&](const std::string& job, int pieces) {
    int done = 0;
    for (int i = 0; i < pieces; ++i) done += d.checker.is_done(job + "/" + std::to_string(i));
    return done;
  };
  // A long array fills the large machine of alex-hall.
  Json filling = Deployment::job("req-000401", "sweep", 16, 2.0);
  filling["builds"] = Json::array({"delta-32"});
  filling["yard"] = "alex-hall";
  filling["guess_s"] = 150.0;
  filling["pull_gb"] = 0.1;
  d.describe(filling, 150);
  if (!d.submit_until_accepted(filling)) return 2;
  for (const double until = now_s() + 15; now_s() < until && count_running("req-000401", 16) < 16;) sleep_s(0.05);
  if (count_running("req-000401", 16) < 16) {
    RECORD("the long array does not run");
    return 2;
  }
  // The job of the case: all of its tasks must be in the same zone. Each fits every machine.
  const int pieces = 16;
  Json job = Deployment::job("req-000402", "sweep", pieces, 2.0);
  job["one_zone"] = true;
  job["pull_gb"] = 0.1;
  job["guess_s"] = 3.0;
  d.describe(job, 3);
  if (!d.submit_until_accepted(job)) return 2;
  const auto all_done = [&] { return count_done("req-000402", pieces) == pieces; };
  for (const double until = now_s() + 15; now_s() < until && !all_done();) {
    sleep_s(0.02);
    if (count_done("req-000402", pieces) >= 8 && count_running("req-000402", pieces) >= 8) break;
  }
  RECORD("before the disruption: done=%d running=%d", count_done("req-000402", pieces), count_running("req-000402", pieces));
  if (trouble) {
    if (all_done()) return 2;
    std::string machine;
    for (int i = 0; i < pieces && machine.empty(); ++i) machine = d.checker.machine_of("req-000402/" + std::to_string(i));
    for (auto& worker : d.cloud->workers())
      if (worker->stile() == machine) worker->die("stops with all that is on it");
  }
  // The trouble is over at once; what was on the machine is proven gone when its lease has ended.
  // From then on the job may wait for 90 s.
  const double over = now_s();
  const double until = over + options.lease_s + 90 + 1;
  double ran = -1;
  const int before = d.checker.starts;
  while (now_s() < until && !all_done()) {
    sleep_s(0.05);
    if (trouble && ran < 0 && d.checker.starts > before) ran = now_s();
    if (ran >= 0) break;
  }
  const bool done = all_done();
  const Response answer = d.show(0, "req-000402");
  int free_cores = 16;
  for (const std::string& id : {std::string("req-000401"), std::string("req-000402")})
    for (int i = 0; i < 16; ++i)
      if (d.checker.machine_of(id + "/" + std::to_string(i)) == spare) free_cores -= 2;
  bool spare_up = false;
  for (auto& worker : d.cloud->workers()) spare_up = spare_up || worker->stile() == spare;
  RECORD("after %.1f s: done=%d started_again=%d machine %s in giza-hall up=%d free_cores=%d", now_s() - over,
         count_done("req-000402", pieces), ran >= 0, spare.c_str(), spare_up, free_cores);
  const bool broken = !done && ran < 0 && spare_up && free_cores >= 2 && answer.status == 200;
  if (broken)
    RECORD("BROKEN left_waiting: req-000402 has waited for 90 s while %s has room for its tasks", spare.c_str());
  for (int i = 0; i < 3; ++i) d.stop(i, SIGKILL);
  _exit(broken ? 1 : (done || ran >= 0) ? 0 : 2);
}
