// Every constant of the service, with its unit and, where it is not evident, the reason for its
// value. No value is specific to one deployment; values that depend on a site come from its
// settings. "PROTOCOL" is the specification of the interfaces to users, workers, the cloud and the
// state service.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "clock.hpp"

namespace poppystile::constants {

// --- transport ---
// PROTOCOL limits a request body to 64 KiB.
inline constexpr std::size_t max_request_body_bytes = 64 * 1024;
// Responses of the state service hold up to 512 KiB of entries; responses to watches are unbounded.
inline constexpr std::size_t max_response_body_bytes = 64 * 1024 * 1024;
// Seconds without traffic after which the server closes a connection, because it may be half open.
// Longer than the 5 s between two polls of a user.
inline constexpr Seconds server_idle_timeout{75.0};
// Fraction of the socket limit available to incoming connections. The rest is for outgoing calls.
inline constexpr double server_socket_share = 0.75;
// Sockets that a controller needs besides those for its peers: two listeners, the watch connection
// to the state service, and at least one more connection to each of the state service and the
// cloud. The rest is spare.
inline constexpr std::size_t min_own_sockets = 8;
// Connections to each remote service: enough to hide its latency, far below any socket limit.
inline constexpr std::size_t client_connections = 24;
// Calls to one remote service that may wait for a connection; further calls fail at once.
inline constexpr std::size_t client_backlog = 512;
// Largest valid frame between peers. A status contains at most `max_advertised_jobs` counts of
// about 60 bytes and `max_advertised_cancellations` job ids of about 42 bytes, if all ids have the
// greatest length.
inline constexpr std::size_t max_peer_frame_bytes = 512 * 1024;
// Incoming connections from peers. There are only a few peers, but some connections may be half
// open.
inline constexpr int max_peer_connections = 16;

// --- log ---
// Seconds for which repetitions of a log line are counted instead of written, to limit floods.
inline constexpr std::chrono::seconds log_repeat_window{5};

// --- state service ---
// Seconds without a response of the state service after which a controller counts as cut off from
// it: longer than `state_timeout`.
inline constexpr Seconds state_contact_stale_after{3.0};
// Seconds before a user's change that the state service rejected for its rate is sent again: by
// that time a twentieth of the changes allowed per second is available again.
inline constexpr Seconds throttle_pause{0.05};
// Seconds; responses usually take 10 ms, occasionally a few hundred.
inline constexpr Seconds state_timeout{2.0};
// Seconds for which the state service may hold a watch open, and the additional time before the
// watch times out. A response proves that the cache includes every change committed before the
// watch was sent, and a leader may extend worker leases only with that proof. The hold is therefore
// short, at the cost of one request per second.
inline constexpr Seconds watch_hold{1.0};
inline constexpr Seconds watch_slack{3.0};
// Seconds before a request to the state service is repeated after a failure.
inline constexpr Seconds state_retry_pause{0.25};
// Seconds; bounds of the wait before a call that the rate limit delayed is tried again.
inline constexpr Seconds min_bucket_wait{0.002};
inline constexpr Seconds max_bucket_wait{1.0};
// Fractions of the state service's rate limits that a leader and a follower use. One leader and two
// followers together stay below the whole limit.
inline constexpr double leader_rate_share = 0.6;
inline constexpr double follower_rate_share = 0.17;
// Keys per page of a list; PROTOCOL allows 1,000 keys or 512 KiB.
inline constexpr int list_page = 500;

// Fraction of the cloud's rate limit that the leader uses. Only leaders call the cloud, but a
// former leader may have used part of the limit just before.
inline constexpr double cloud_rate_share = 0.9;

// A controller counts as overloaded when more user requests wait for the state service's rate limit
// than it may send in a second, and more than this.
inline constexpr std::size_t min_queued_user_requests = 60;

// --- leader election ---
// Milliseconds; duration of the leader lease: long enough to survive lost packets and slow
// responses, short enough that worker leases outlast a failover.
inline constexpr std::chrono::milliseconds leader_lease_ttl{4000};
// Seconds between checks of the leader lease; far below its duration.
inline constexpr Seconds election_tick{0.1};
// Seconds between renewals of the leader lease; three attempts fit into its duration.
inline constexpr Seconds leader_lease_renew_interval{1.0};
// Seconds; timeout of calls that create, renew or delete a leader lease.
inline constexpr Seconds leader_lease_call_timeout{1.5};
// Relative drift between two steady clocks: twice the bound that PROTOCOL gives for one clock.
inline constexpr double clock_drift = 0.001;
// Seconds; allowance for late timers and packets wherever a lease must have expired.
inline constexpr Seconds lease_margin{1.0};
// Jobs whose task counts one peer status contains; the counts are only shown to users.
inline constexpr std::size_t max_advertised_jobs = 3000;
// Seconds between status broadcasts to the peers.
inline constexpr Seconds peer_heartbeat_interval{1.0};
// Cancelled jobs that one peer status lists. A status that would have to list more confirms no
// cancellation. Cancelled jobs without a final record are few, except in a long outage.
inline constexpr std::size_t max_advertised_cancellations = 6000;
// Seconds for which a peer's status counts as current.
inline constexpr Seconds max_peer_status_age{3.0};

// Seconds over which heartbeats are counted to determine whether workers reach their leader. A
// worker that does not reach it is redirected by a peer about every 5 s (PROTOCOL: 4 s without a
// response, 1 s until it tries the next controller), so it is counted within the window. Far below
// a worker lease.
inline constexpr Seconds reachability_window{6.0};
// A leader resigns when the heartbeats that peers redirect to it exceed this multiple of those that
// it receives directly. A fault of one zone or of some machines does not reach this ratio.
inline constexpr std::uint64_t resign_ratio = 4;
// Longest time between two heartbeats of a worker, as a multiple of `heartbeat_interval`
// (PROTOCOL: the interval varies by a quarter).
inline constexpr double max_heartbeat_interval_factor = 1.25;
// Fewest machines for which missing heartbeats are evidence that workers do not reach the leader,
// and fewest heartbeats redirected by peers in `reachability_window` that are evidence of it. With
// a higher value, the worker leases of a small fleet would expire while its leader waits for the
// peers' counts.
inline constexpr std::size_t reachability_min_machines = 3;
// Seconds for which a controller that has resigned does not campaign, unless workers reach it.
inline constexpr Seconds resign_cooldown{30.0};

// A leader that can no longer receive cancellations may respond to workers for a limited time. A
// leader that has not yet replayed the journal has only this fraction of that time, because
// cancellations may have been pending since before its election.
inline constexpr double response_share_before_replay = 0.25;

// --- users ---
// Seconds for which polls are gathered, to be confirmed by one compare.
inline constexpr Seconds poll_batch_window{0.015};
// Seconds after sending a read within which its response may be passed on to users; later, another
// controller may have reported a newer state. Above the few hundred milliseconds that a response
// sometimes takes, and below the timeout of a poll.
inline constexpr Seconds max_read_age{1.0};
// Seconds after which no controller may still respond with a state older than one that another
// controller has learnt: `max_read_age`, and an allowance for late timers and for clock drift.
inline constexpr Seconds announcement_timeout{1.1};
// Seconds for which a response that reports an acceptance may wait for the peers' acknowledgements.
// Short, since users want acceptances within a fraction of a second while a peer may be down.
inline constexpr Seconds max_acceptance_hold{0.05};
// Seconds for which a user's change that the state service throttled is tried again.
inline constexpr Seconds submission_retry_window{1.0};
// Seconds; the value of the Retry-After header.
inline constexpr std::chrono::seconds retry_after{1};
// Tasks in one job; PROTOCOL's limit.
inline constexpr std::uint64_t max_tasks = 100'000;
// Bytes of the longest job id accepted; every key that contains a job id stays below 200 bytes.
inline constexpr std::size_t max_job_id_bytes = 40;
// Bytes of each text of a submission. They are short names; the limit keeps a job record below the
// value limit.
inline constexpr std::size_t max_name_bytes = 200;

// --- records ---
// Fraction of the state service's value limit that a value may fill as this program encodes it. The
// rest allows for another encoder's white space and for the frame around journal entries.
inline constexpr double value_fill_share = 0.9;
// Changes that the state service must at least allow in one transaction: a final record takes two,
// since it replaces the job's record.
inline constexpr int min_txn_ops = 2;
// Fraction of a value's bytes that a bitmap in hex may take. The rest is for the entry around it,
// which contains one job id of at most `max_job_id_bytes`, and for the record.
inline constexpr double bitmap_value_share = 0.5;
// Bytes of the longest index range in a journal entry, with the cloud's machine names in PROTOCOL's
// form and indices of five digits. A longer range makes its entry longer than planned, for which
// the fraction of the value that is left free suffices.
inline constexpr std::size_t max_journal_range_bytes = 40;
// Tasks in one bitmap of finished tasks in a snapshot; fewer where values must be small.
inline constexpr std::size_t max_bitmap_chunk_tasks = 16'000;
// Bytes of values in one transaction; PROTOCOL limits the whole transaction to 64 KiB.
inline constexpr std::size_t max_transaction_bytes = 48'000;
// Segments in the ring of keys that the journal reuses.
inline constexpr std::uint64_t journal_ring_segments = 1024;
// The number of segments that may follow a snapshot is proportional to the snapshot's chunks, at
// least `min_segments_after_snapshot` and at most the whole ring. The next snapshot is due after
// half of that number, so that the other half is available while the snapshot is written. Version
// 0.1.0 has a ring of only `min_segments_after_snapshot`, and can continue a longer journal once it
// has written a snapshot of its own.
inline constexpr std::uint64_t min_segments_after_snapshot = 256;
inline constexpr std::uint64_t segments_per_snapshot_chunk = 4;
// A snapshot is due after this many bytes of segments, or after `segment_bytes_per_snapshot_byte`
// times the bytes of the last snapshot if that is more: at most every third byte written then
// belongs to a snapshot.
inline constexpr std::size_t min_journal_bytes_before_snapshot = 64 * 1024;
inline constexpr std::size_t segment_bytes_per_snapshot_byte = 2;
// Elements of one stored journal entry, so that a record can be split between entries; fewer where
// values must be small.
inline constexpr std::size_t max_journal_entry_elements = 64;
// Maximum transactions per second of the journal, as a fraction of the state service's limit on
// changes per second (`write_rps`). At 44 changes per second that is one transaction every 0.15 s,
// for which the start of a task waits.
inline constexpr double journal_rate_share = 0.15;
// Maximum changes per second of the journal, as a fraction of the same limit. Where values are
// small its transactions contain many changes; without this limit the final records, which have a
// lower priority than the journal, were delayed by minutes.
inline constexpr double journal_change_share = 0.3;
// Lower bound of the maximum number of snapshot chunks in one transaction. The maximum is higher
// only where a snapshot could otherwise not be completed before the segments run out, since more
// chunks delay users' writes.
inline constexpr std::size_t min_snapshot_chunks_per_write = 2;
// Seconds before a journal transaction that failed or was not answered is sent again.
inline constexpr Seconds journal_retry_pause{0.1};
// Tasks on one machine; keeps its heartbeats and their responses within PROTOCOL's limits.
inline constexpr std::size_t max_tasks_per_machine = 150;
// Seconds between transactions that write final records.
inline constexpr Seconds finalize_interval{0.04};
// Seconds between scans for jobs whose final record was not written because another change to the
// job's record came first.
inline constexpr Seconds finalize_sweep_interval{2.0};
// Lower bits of an attempt number, which count the attempts of one leader's fencing token.
inline constexpr int attempt_counter_bits = 24;

// --- workers ---
// Seconds between ticks of the leader; half of `finalize_interval`.
inline constexpr Seconds leader_tick{0.02};
// Seconds between checks of the worker leases; short compared with leases of several seconds.
inline constexpr Seconds lease_check_interval{0.5};
// Seconds after which a worker stops waiting for the response to a heartbeat (PROTOCOL).
inline constexpr Seconds worker_response_timeout{4.0};
// A machine's heartbeat is overdue after this many heartbeat intervals plus `overdue_slack`.
inline constexpr double overdue_heartbeats = 2.5;
// Seconds; allowance for late timers and packets.
inline constexpr Seconds overdue_slack{1.0};
// Seconds for which new tasks avoid a machine after a failure, doubled for each of its failures in
// a row: 8 s after the first, at most 64 s.
inline constexpr Seconds base_avoid_time{4};
// Seconds for which the response to a heartbeat may be delayed until the placement of a task to be
// started is durable in the journal. Far below `worker_response_timeout`, and below the time
// between heartbeats.
inline constexpr Seconds max_response_hold{0.5};
// A preempted machine's tasks are stopped this many heartbeat intervals before the preemption, plus
// the time that a gang needs to save: the response to one heartbeat carries the stop command, and a
// later heartbeat proves that the task has exited.
inline constexpr double preemption_stop_heartbeats = 2.5;
// Responses to a machine are assumed to be lost after this many start commands for one task that
// the next heartbeat did not list, or after this many incarnations or worker leases in a row that
// ended although start commands were sent, without a heartbeat that listed any of the tasks.
inline constexpr int max_unacknowledged_starts = 2;
// Worker leases after which a machine that does not receive responses is released.
inline constexpr double unresponsive_leases_before_release = 3;

// --- planning ---
// Cost units of the LABL paper (section 3.1): a task whose image is cached on its machine, and a
// task whose image is not.
inline constexpr double local_task_units = 1.0;
inline constexpr double remote_task_units = 3.0;
// Cost units; how far LABL's latency limit may rise above the lower bound at which it starts while
// remote placement is still considered. The paper leaves the value open. Default of the property
// `planner.remote-offset-units`.
inline constexpr double remote_offset_units = 1.0;
// Shortest time in seconds between plans; a plan uses processor time that heartbeats need too.
inline constexpr Seconds min_plan_interval{0.2};
// Seconds; in the first `gang_reservation_time` of each `gang_reservation_period` since the
// submission of a gang that does not fit, free capacity is reserved for it. Within 40 s, tasks that
// run for half a minute free enough of it. Single tasks are placed in the rest of the period, since
// no task may wait for 90 s while there is free capacity for it.
inline constexpr Seconds gang_reservation_time{40.0};
inline constexpr Seconds gang_reservation_period{55.0};
// Fraction of the gang assembly timeout within which a lost task is replaced; after that, a new
// attempt assembles sooner.
inline constexpr double gang_replacement_share = 0.4;
// Seconds after the newest gang of a class for which capacity is kept ready for the next one.
inline constexpr Seconds gang_capacity_retention{120.0};
// Seconds; the shortest run time that the planner assumes, so that no load is zero.
inline constexpr Seconds min_estimated_run_time{1.0};
// Pause after a plan as a multiple of its duration: planning uses at most a tenth of the time.
inline constexpr double planning_pause_factor = 9;
// Batches of arrays in one plan; each uses the capacity that the previous ones left free.
inline constexpr int max_array_batches = 3;
// Seconds from submission to completion intended for an array without a deadline or target.
inline constexpr Seconds default_completion_target{300};
// Multiple of its completion target until which an array is planned by that target. Users state a
// second target at 1.5 times the first.
inline constexpr double overdue_target_factor = 1.5;
// Seconds that an array's first task waits before it is placed in any free capacity, even where its
// image must be fetched: half of the 90 s for which no task may wait while there is free capacity
// for it.
inline constexpr Seconds max_first_task_wait{45};
// Seconds that an array waits before its first tasks precede all other arrays: PROTOCOL requires
// even the largest array to begin within 240 s.
inline constexpr Seconds starvation_wait{150};
// Divisor that gives how many tasks of a starved array precede the others: a twentieth of them
// starts the array and leaves capacity for other arrays.
inline constexpr std::uint32_t starved_array_divisor = 20;
// Searches for tasks to preempt in one plan; each search scans all machines.
inline constexpr int max_preemption_searches = 20;
// Additional startup delay, in heartbeat intervals, that a replica accepts in order to run on a
// machine that runs only services rather than on one without services: enough to pack replicas
// together, too little to wait for a fetch.
inline constexpr double service_packing_heartbeats = 1.0;
// Additional startup delay, in heartbeat intervals, that a replica accepts in order to run in a
// zone with none of its class's replicas rather than in one with all of them.
inline constexpr double zone_spread_heartbeats = 2.0;
// Fractions of a type's usual boot time between which a machine is expected to finish booting
// (PROTOCOL: usually 0.6 to 1.5).
inline constexpr double boot_earliest_share = 0.6;
inline constexpr double boot_latest_share = 1.5;
// Seconds after its submission until which a replica may wait for a booting machine: half of the
// 90 s for which no task may wait while there is free capacity for it, plus an allowance for the
// fetch.
inline constexpr Seconds max_boot_wait{55};
// Tolerance of LABL's comparisons, so that rounding does not raise a sum of loads above a limit.
inline constexpr double labl_rounding_slack = 1e-9;
// Rounds after which LABL leaves the remaining tasks unassigned, so that no input blocks planning.
inline constexpr int max_labl_rounds = 400;
// Cost units at which the search for LABL's lower bound stops, so that it ends for every input.
inline constexpr std::uint64_t max_labl_bound_units = std::uint64_t{1} << 32;

// --- machines ---
// A machine that never sent a heartbeat is released after this multiple of its type's boot time
// plus `boot_timeout_allowance`.
inline constexpr double boot_timeout_factor = 4.0;
// Seconds; allowance for types whose boot time is close to zero.
inline constexpr Seconds boot_timeout_allowance{30.0};
// Seconds beyond its worker lease for which a machine may be silent before it is released. A
// machine that has crashed is listed as failed by the cloud after half a minute; one that hangs or
// is cut off may return with its cached images.
inline constexpr Seconds silence_grace{90.0};
// Seconds for which the fleet keeps capacity for a peak in demand after the demand has dropped,
// since releasing a machine costs at least 60 s of rent. Default of the property
// `fleet.idle-keep-s`.
inline constexpr Seconds idle_capacity_retention{40.0};
// Multiple of the peak demand of the last `idle_capacity_retention` for which capacity is kept, to
// have some for new work.
inline constexpr double demand_headroom_factor = 1.1;
// Largest fraction, rounded up to whole machines, of the candidates for draining that one capacity
// pass starts to drain.
inline constexpr double max_drain_share = 0.05;
// Largest fraction of a machine's cpus used by services at which it may be drained by moving their
// replicas to other machines.
inline constexpr double max_moved_cpu_share = 0.5;
// Largest fraction of all replicas' run time that may be lost by moving replicas.
inline constexpr double max_moving_downtime_share = 0.005;
// Seconds; if the pause between two moves would have to be longer than this, there are so few
// replicas that a single move has a noticeable cost, and none is moved.
inline constexpr Seconds max_pause_between_moves{60};
// Heartbeat intervals for which a replica is down while it is moved.
inline constexpr double move_downtime_heartbeats = 2.0;
// Failures in a row, of at least two different jobs, after which a machine is quarantined.
inline constexpr int quarantine_failures = 3;
// Seconds; first and longest pause before tasks of a job that fails on every machine are tried
// again. The longest leaves time to find a machine within the 90 s for which no task may wait while
// there is free capacity for it.
inline constexpr Seconds initial_retry_pause{1.0};
inline constexpr Seconds max_retry_pause{45.0};
// Tasks that a job that fails on every machine may have placed at once: enough to detect that it
// runs again, without occupying capacity for the rest of its tasks.
inline constexpr std::uint32_t max_retrying_tasks = 2;
// Seconds between fetches of the machine types and their prices; prices change slowly.
inline constexpr Seconds catalog_refresh_interval{60.0};
// Seconds before a rental request without a response is sent again.
inline constexpr Seconds rental_retry_pause{2.0};
// Seconds before a release that the cloud refused or did not answer is sent again.
inline constexpr Seconds release_retry_pause{1.0};
// Machines in one release request; PROTOCOL's limit.
inline constexpr std::size_t max_machines_per_release = 100;
// Fraction of the cloud's rate limit that fetching the pages of a machine list may use.
inline constexpr double list_call_share = 0.25;
// Seconds between the end of one machine list and the start of the next.
inline constexpr Seconds list_interval{5.0};
// Seconds; first and longest pause before an offer (machine type, zone, spot or on demand) that had
// no capacity is requested again. The pause doubles, so that refusals do not exhaust the cloud's
// rate limit.
inline constexpr Seconds initial_no_capacity_pause{15.0};
inline constexpr Seconds max_no_capacity_pause{60.0};
// Seconds; timeout of a call to the cloud.
inline constexpr Seconds cloud_timeout{8.0};
// Seconds between passes that adjust the size of the fleet.
inline constexpr Seconds capacity_pass_interval{1.0};
// Machines in one rental request; PROTOCOL's limit.
inline constexpr int max_machines_per_rental = 50;
// Seconds; a machine for a service is worth twice its price when its replica starts this much
// sooner. About one boot time: below it the price decides, far above it the speed.
inline constexpr Seconds service_price_doubling_delay{30.0};
// Relative surcharge on an offer's price when the whole fleet consists of that offer: no machine
// type or zone should provide all capacity.
inline constexpr double max_concentration_surcharge = 0.3;
// Additional capacity that is kept free or booting for each job class of services, as a fraction of
// the replicas that the class requires. Default of the property `fleet.service-reserve`.
inline constexpr double service_reserve = 0.12;

}  // namespace poppystile::constants
