#include "simulation/simulated_users.hpp"

#include <cstdio>
#include <iterator>
#include <utility>
#include <vector>

namespace poppystile::simulation {

using transport::HttpRequest;
using transport::HttpResponse;

namespace {
constexpr Seconds request_timeout{5};
constexpr Seconds poll_timeout{2};
constexpr Seconds poll_interval{5};
constexpr double finished_poll_factor = 10;  // multiple of poll_interval for finished jobs
constexpr Seconds retry_delay{1};
// Time after which a call fails if no controller is reachable.
constexpr Seconds connect_timeout{0.5};
constexpr Seconds latency{0.002};  // One-way latency.
constexpr Seconds max_cancel_delay{0.01};
constexpr Seconds unusual_request_interval{0.4};
// Time between two queries at all controllers, and how long they go on after an event.
constexpr Seconds close_query_interval{0.03};
constexpr Seconds close_query_duration{1.5};
constexpr int unusual_request_kinds = 3;
constexpr double impossible_cores = 1e6;

std::string stage_of(const HttpResponse& response) {
  return protocol::parse_object(response.body).at("stage").get<std::string>();
}

bool is_mutation(const HttpRequest& request) { return request.method != "GET"; }
}  // namespace

SimulatedUsers::SimulatedUsers(EventQueue& queue, const NetworkFaults& faults,
                               InvariantChecker& invariants, ControllerCluster& cluster,
                               OnCancellationConfirmed on_cancellation_confirmed)
    : queue_(queue),
      faults_(faults),
      invariants_(invariants),
      cluster_(cluster),
      on_cancellation_confirmed_(std::move(on_cancellation_confirmed)) {}

void SimulatedUsers::call(const HttpRequest& request, OnResponse done) {
  const std::vector<ControllerProcess*> reachable = cluster_.reachable_by_users();
  if (reachable.empty()) return queue_.after(connect_timeout, [done] { done({}); });
  const double chosen = queue_.uniform(0, static_cast<double>(reachable.size()));
  send(*reachable[static_cast<std::size_t>(chosen)], request, std::move(done));
}

void SimulatedUsers::send(ControllerProcess& to, const HttpRequest& request, OnResponse done) {
  auto settled = std::make_shared<bool>(false);
  const auto settle = [settled, done = std::move(done)](HttpResponse response) {
    if (!std::exchange(*settled, true)) done(std::move(response));
  };
  queue_.after(is_mutation(request) ? request_timeout : poll_timeout, [settle] { settle({}); });
  queue_.after(latency, [this, &to, request, settle] {
    if (!to.is_running()) return settle({});
    transmit(to, request, settle);
    if (is_mutation(request) && queue_.chance(faults_.duplicated_calls.share)) duplicate(request);
  });
}

void SimulatedUsers::transmit(ControllerProcess& to, const HttpRequest& request,
                              const OnResponse& on_response) {
  const auto respond = [this, &to, target = request.target,
                        on_response](const HttpResponse& response) {
    queue_.after(latency, [on_response, response] { on_response(response); });
    if (target.ends_with("/cancel") && response.status == 200) on_cancellation_confirmed_(to);
  };
  to.deliver([&to, request, respond] { to.handle(request, respond); });
}

// Delivers a second copy of an executed request to a random controller, after a random delay.
void SimulatedUsers::duplicate(const HttpRequest& request) {
  queue_.after(
      queue_.uniform(faults_.duplicated_calls.min_delay, faults_.duplicated_calls.max_delay),
      [this, request] {
        ControllerProcess& to = cluster_.random();
        to.deliver([&to, request] { to.handle(request, [](const HttpResponse&) {}); });
      });
}

void SimulatedUsers::submit(const protocol::JobSpec& job) {
  invariants_.record_submission(job);
  bodies_[job.id] = protocol::encode_submission(job).dump();
  query_closely_if_enabled(job.id);
  resubmit(job.id);
}

void SimulatedUsers::resubmit(const std::string& job) {
  call({"POST", "/submissions", bodies_[job]}, [this, job](const HttpResponse& response) {
    if (response.status == 201 || response.status == 200) {
      invariants_.record_response(job, response.status, stage_of(response),
                                  RequestKind::submission);
      return queue_.after(poll_interval, [this, job] { poll(job); });
    }
    invariants_.record_response(job, response.status, "", RequestKind::submission);
    if (response.status == 400 || response.status == 422) return;
    queue_.after(retry_delay, [this, job] { resubmit(job); });
  });
}

void SimulatedUsers::poll(const std::string& job) {
  invariants_.record_query(job);
  call({"GET", "/submissions/" + job, ""}, [this, job](const HttpResponse& response) {
    const std::string stage = response.status == 200 ? stage_of(response) : "";
    invariants_.record_response(job, response.status, stage, RequestKind::query);
    if (stage == "done" || stage == "aborted") finished_.insert(job);
    const double factor = finished_.contains(job) ? finished_poll_factor : 1;
    queue_.after(factor * poll_interval, [this, job] { poll(job); });
  });
}

void SimulatedUsers::cancel(const std::string& job) {
  cancelling_.insert(job);
  query_closely_if_enabled(job);
  call({"POST", "/submissions/" + job + "/cancel", ""}, [this, job](const HttpResponse& response) {
    if (response.status == 404)
      return invariants_.record_response(job, response.status, "", RequestKind::cancellation);
    if (response.status != 200) return queue_.after(retry_delay, [this, job] { cancel(job); });
    const std::string stage = stage_of(response);
    if (stage == "aborted") invariants_.record_cancellation_confirmed(job);
    invariants_.record_response(job, response.status, stage, RequestKind::cancellation);
  });
}

void SimulatedUsers::query_unknown(const std::string& job) {
  call({"GET", "/submissions/" + job, ""}, [this, job](const HttpResponse& response) {
    invariants_.record_response(job, response.status, "?", RequestKind::query);
  });
}

std::set<std::string> SimulatedUsers::cancel_running(int count, const std::string& job_class) {
  std::set<std::string> out;
  for (const auto& job : std::set<std::string>(invariants_.accepted())) {
    if (count == 0) break;
    const bool fits = job_class.empty() || invariants_.find_job(job)->job_class == job_class;
    const auto machines = invariants_.machines_of(job);
    if (!fits || cancelling_.contains(job) || machines.empty()) continue;
    --count;
    cancel(job);
    out.insert(machines.begin(), machines.end());
  }
  return out;
}

void SimulatedUsers::cancel_on_completion(double share, Seconds duration) {
  set_temporarily(queue_, cancel_on_completion_share_, share, duration);
  invariants_.on_job_completed([this](const std::string& job) {
    if (cancelling_.contains(job) || !queue_.chance(cancel_on_completion_share_)) return;
    queue_.after(queue_.uniform(Seconds{0}, max_cancel_delay), [this, job] { cancel(job); });
  });
}

void SimulatedUsers::query_all_controllers(Seconds duration) {
  close_queries_until_ = queue_.now() + duration.count();
  invariants_.on_job_completed([this](const std::string& job) { query_closely_if_enabled(job); });
}

void SimulatedUsers::query_closely_if_enabled(const std::string& job) {
  if (queue_.now() <= close_queries_until_)
    query_closely(job, queue_.now() + close_query_duration.count());
}

void SimulatedUsers::query_closely(const std::string& job, double until) {
  if (queue_.now() > until) return;
  for (ControllerProcess* to : cluster_.reachable_by_users())
    send(*to, {"GET", "/submissions/" + job, ""}, [this, job](const HttpResponse& response) {
      const std::string stage = response.status == 200 ? stage_of(response) : "";
      invariants_.record_response(job, response.status, stage, RequestKind::query);
    });
  queue_.after(close_query_interval, [this, job, until] { query_closely(job, until); });
}

void SimulatedUsers::send_unusual_requests(Seconds duration) {
  unusual_requests_until_ = queue_.now() + duration.count();
  send_unusual_request(0);
}

void SimulatedUsers::send_unusual_request(int request_number) {
  if (queue_.now() > unusual_requests_until_ || bodies_.empty()) return;
  queue_.after(unusual_request_interval,
               [this, request_number] { send_unusual_request(request_number + 1); });
  const double chosen = queue_.uniform(0, static_cast<double>(bodies_.size()));
  const auto& [job, body] = *std::next(bodies_.begin(), static_cast<long>(chosen));
  if (request_number % unusual_request_kinds != 0) return submit_invalid(request_number, body);
  if (!invariants_.accepted().contains(job)) return;
  finished_.contains(job) ? cancel(job) : resubmit_once(job);
}

void SimulatedUsers::resubmit_once(const std::string& job) {
  call({"POST", "/submissions", bodies_[job]}, [this, job](const HttpResponse& response) {
    const std::string stage = response.status == 200 ? stage_of(response) : "";
    invariants_.record_response(job, response.status, stage, RequestKind::submission);
  });
}

// Alternates between a submission whose task fits no machine and one without a required field.
void SimulatedUsers::submit_invalid(int request_number, const std::string& valid_body) {
  protocol::Json body = protocol::parse_object(valid_body);
  char id[16];
  std::snprintf(id, sizeof(id), "req-9%06d", request_number);
  body["id"] = id;
  std::string defect = "a task fits no machine";
  if (request_number % unusual_request_kinds == 1) {
    body["cores"] = impossible_cores;
  } else {
    std::vector<std::string> required;
    for (const auto& [field, value] : body.items())
      if (field != "builds" && field != "yard" && field != "due_s") required.push_back(field);
    const auto index =
        static_cast<std::size_t>(request_number / unusual_request_kinds) % required.size();
    defect = required[index] + " is missing";
    body.erase(required[index]);
  }
  call({"POST", "/submissions", body.dump()}, [this, defect](const HttpResponse& response) {
    if (response.status == 200 || response.status == 201)
      invariants_.record_invalid_submission_accepted(defect);
  });
}

std::string SimulatedUsers::find_job(const std::string& job_class, bool finished) const {
  for (const auto& [job, body] : bodies_)
    if (invariants_.find_job(job)->job_class == job_class && finished_.contains(job) == finished &&
        (finished || !cancelling_.contains(job)))
      return job;
  return "";
}

}  // namespace poppystile::simulation
