/// \file
/// The users of a simulation: they submit, poll and cancel jobs, and repeat themselves.
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

/// Sends users' requests to random controllers, and reports each response to the checker.
class SimulatedUsers {
 public:
  using OnCancellationConfirmed = std::function<void(ControllerProcess& confirming_controller)>;

  /// `on_cancellation_confirmed` runs when a controller has confirmed a cancellation.
  SimulatedUsers(EventQueue& queue, const NetworkFaults& faults, InvariantChecker& invariants,
                 ControllerCluster& cluster, OnCancellationConfirmed on_cancellation_confirmed);

  /// Submits the job until it is accepted or refused, and polls it from then on.
  void submit(const protocol::JobSpec& job);
  /// Submits a known job again.
  void resubmit(const std::string& job);
  /// Cancels the job; asks again until it gets a response.
  void cancel(const std::string& job);
  /// Asks for a job that was never submitted.
  void query_unknown(const std::string& job);
  /// Cancels `count` running jobs at once, of this class unless it is empty. Returns the machines
  /// that they run on.
  std::set<std::string> cancel_running(int count, const std::string& job_class);
  /// This share of the jobs is cancelled at the moment at which its last task completes.
  void cancel_on_completion(double share, Seconds duration);
  /// Submissions of unfinished jobs once more, cancellations of finished ones, invalid requests.
  void send_unusual_requests(Seconds duration);
  /// A job of the class, finished or not, in the latter case not cancelled; empty when none fits.
  std::string find_job(const std::string& job_class, bool finished) const;

 private:
  using OnResponse = std::function<void(transport::HttpResponse)>;

  void call(const transport::HttpRequest& request, OnResponse done);
  void transmit(ControllerProcess& to, const transport::HttpRequest& request,
                const OnResponse& on_response);
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
  std::map<std::string, std::string> bodies_;  // of submissions, by job
  std::set<std::string> cancelling_;
  std::set<std::string> finished_;
  double cancel_on_completion_share_ = 0;
  double unusual_requests_until_ = 0;  // simulated time
};

}  // namespace poppystile::simulation
