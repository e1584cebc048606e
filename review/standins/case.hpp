// What the cases share: verdicts, the time limit and the frame of main().
#pragma once

#include <iostream>

#include "deployment.hpp"

namespace standin {

enum Verdict { held = 0, broken = 1, could_not_run = 2 };

/// A step that the case needs failed, for another reason than the fault that it looks for.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline void need(bool condition, const std::string& what) {
  if (!condition) throw CannotRun(what);
}

inline bool with_trouble() {
  const char* given = std::getenv("TROUBLE");
  return given == nullptr || std::string(given) != "0";
}

/// Runs `play`, which returns a verdict, and ends all processes, also when `limit_s` has passed.
template <typename Play>
int run_case(int argc, char** argv, const Site& site, double limit_s, Play play) {
  if (argc != 3) return could_not_run;
  ::signal(SIGPIPE, SIG_IGN);
  record().open(argv[2]);
  now();
  Deployment* deployment = nullptr;
  int verdict = could_not_run;
  std::string why = "the case took too long";
  std::mutex ending;
  const auto end = [&] {
    const std::lock_guard lock(ending);
    const char* names[] = {"the rule held", "THE RULE WAS BROKEN", "the case couldn't run"};
    record().line(std::string("verdict: ") + names[verdict] + ": " + why);
    std::cout << names[verdict] << ": " << why << std::endl;
    if (deployment != nullptr) deployment->end();
    _exit(verdict);
  };
  std::thread([&] {
    sleep_s(limit_s);
    end();
  }).detach();
  try {
    deployment = new Deployment(site, argv[1]);
    const std::pair<Verdict, std::string> result = play(*deployment);
    verdict = result.first;
    why = result.second;
  } catch (const std::exception& problem) {
    why = problem.what();
  }
  end();
  return could_not_run;
}

/// Submits as a user does, and repeats it at the next controller until it is accepted.
inline bool submit(Deployment& deployment, const Json& job, double run_s, double patience,
                   int first = 0) {
  deployment.jobs.add(job, run_s);
  const double until = now() + patience;
  for (int node = first; now() < until; ++node) {
    const Response response =
        deployment.ask(node % Deployment::controllers, "POST", "/submissions", job.dump(), 5);
    record().line("user: submits " + job["id"].get<std::string>() + " at stile-" +
                  std::to_string(node % Deployment::controllers) + ": " +
                  std::to_string(response.status) + " " + response.body);
    if (response.status == 200 || response.status == 201) return true;
    sleep_s(1);
  }
  return false;
}

/// Polls until the job is in `stage` anywhere.
inline bool wait_stage(Deployment& deployment, const std::string& id, const std::string& stage,
                       double patience) {
  const double until = now() + patience;
  for (int node = 0; now() < until; ++node) {
    const Response response =
        deployment.ask(node % Deployment::controllers, "GET", "/submissions/" + id, "", 2);
    const Json body = Json::parse(response.body, nullptr, false);
    if (response.status == 200 && body.is_object() && body.value("stage", "") == stage) {
      record().line("user: " + id + " is " + stage);
      return true;
    }
    sleep_s(0.3);
  }
  return false;
}

}  // namespace standin
