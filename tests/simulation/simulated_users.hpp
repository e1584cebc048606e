/// \file
/// The users of a simulation: they submit, poll and cancel jobs, and repeat requests.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "protocol/submission.hpp"
#include "simulation/controller_cluster.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/invariant_checker.hpp"
#include "simulation/network_faults.hpp"

namespace poppystile::simulation {

/// Sends users' requests to random controllers and reports each response to the invariant checker.
class SimulatedUsers {
 public:
  using OnCancellationConfirmed = std::function<void(ControllerProcess& confirming_controller)>;

  /// `on_cancellation_confirmed` runs each time a controller has confirmed a cancellation.
  SimulatedUsers(EventQueue& queue, const NetworkFaults& faults, InvariantChecker& invariants,
                 ControllerCluster& cluster, OnCancellationConfirmed on_cancellation_confirmed);

  /// Submits the job repeatedly until it is accepted or refused. Polls an accepted job until the
  /// end of the simulation.
  void submit(const protocol::JobSpec& job);
  /// Submits a job again that was submitted before.
  void resubmit(const std::string& job);
  /// Cancels the job. Repeats the request until it gets status 200 or 404.
  void cancel(const std::string& job);
  /// Queries a job that was never submitted.
  void query_unknown(const std::string& job);
  /// Cancels up to `count` running jobs at once; only jobs of `job_class`, unless it is empty.
  /// Returns the machines on which they run.
  std::set<std::string> cancel_running(int count, const std::string& job_class);
  /// During `duration`, cancels each job whose last task completes with the probability `share`,
  /// within 10 ms of the completion.
  void cancel_on_completion(double share, Seconds duration);
  /// During `duration`, queries each job whose submission or cancellation is sent, or whose last
  /// task completes, at all controllers every few milliseconds.
  void query_all_controllers(Seconds duration);
  /// During `duration`, repeats submissions of unfinished jobs, cancels finished jobs and sends
  /// invalid submissions.
  void send_unusual_requests(Seconds duration);
  /// Returns a job of the class that is finished or, if `finished` is false, one that is neither
  /// finished nor cancelled. Empty if there is none.
  std::string find_job(const std::string& job_class, bool finished) const;

 private:
  using OnResponse = std::function<void(transport::HttpResponse)>;

  void call(const transport::HttpRequest& request, OnResponse done);
  void transmit(ControllerProcess& to, const transport::HttpRequest& request,
                const OnResponse& on_response);
  void send(ControllerProcess& to, const transport::HttpRequest& request, OnResponse done);
  void query_closely(const std::string& job, double until);
  void query_closely_if_enabled(const std::string& job);
  void duplicate(const transport::HttpRequest& request);
  void poll(const std::string& job);
  void send_unusual_request(int request_number);
  void resubmit_once(const std::string& job);
  void submit_invalid(int request_number, const std::string& valid_body);

  EventQueue& queue_;
  const NetworkFaults& faults_;
  InvariantChecker& invariants_;
  ControllerCluster& cluster_;
  OnCancellationConfirmed on_cancellation_confirmed_;
  std::map<std::string, std::string> bodies_;  // Bodies of submissions by job.
  std::set<std::string> cancelling_;
  std::set<std::string> finished_;
  double cancel_on_completion_share_ = 0;
  double unusual_requests_until_ = 0;  // simulated time
  double close_queries_until_ = 0;     // simulated time
};

}  // namespace poppystile::simulation
