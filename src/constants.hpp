// Every constant of the service, with its unit and the reason for its value.
// Nothing here describes one deployment: what depends on a site is derived from its settings.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "clock.hpp"

namespace poppystile::constants {

// --- transport ---
// bytes; PROTOCOL bounds a request body at 64 KiB.
inline constexpr std::size_t max_request_body_bytes = 64 * 1024;
// bytes; responses of the state service may hold 512 KiB of entries, watches have no bound.
inline constexpr std::size_t max_response_body_bytes = 64 * 1024 * 1024;
// seconds; a half-open connection is dropped after this much silence. Users poll every 5 s.
inline constexpr Seconds server_idle_timeout{75.0};
// share of the socket limit that incoming connections may use; the rest is for our own calls.
inline constexpr double server_socket_share = 0.75;
// sockets a controller needs for itself: two listeners, and to each of the cloud and the state
// service one at least besides the one that a watch holds.
inline constexpr std::size_t min_own_sockets = 8;
// connections per remote service; enough to hide latency, far below any socket limit.
inline constexpr std::size_t client_connections = 24;
// waiting calls per remote service before new ones fail at once.
inline constexpr std::size_t client_backlog = 512;
// bytes; a frame between peers holds a status with at most `max_advertised_jobs` counts and
// `max_advertised_cancellations` names, of some 60 and 42 bytes with the longest ids; anything
// larger is garbage.
inline constexpr std::size_t max_peer_frame_bytes = 512 * 1024;
// incoming connections of peers: a handful, some of them half open.
inline constexpr int max_peer_connections = 16;

// --- log ---
// a line equal to the one before it is only counted for this long: enough to hold back a flood.
inline constexpr std::chrono::seconds log_repeat_window{5};

// --- state service ---
// seconds without a response of the state service after which a controller counts as cut off:
// longer than a call may take.
inline constexpr Seconds state_contact_stale_after{3.0};
// seconds before a user's change that was refused for its rate is offered again: a twentieth of a
// second's rate is back by then.
inline constexpr Seconds throttle_pause{0.05};
// seconds; responses usually take 10 ms and now and then a few hundred.
inline constexpr Seconds state_timeout{2.0};
// seconds; how long a watch is held open, and the slack before it times out. A response proves that
// everything is known that was committed before the watch was sent, and a leader may keep worker
// leases alive only on that proof: so the hold is short, at one request a second.
inline constexpr Seconds watch_hold{1.0};
inline constexpr Seconds watch_slack{3.0};
// seconds; pause before the state service is asked again after a failure.
inline constexpr Seconds state_retry_pause{0.25};
// seconds; shortest and longest wait before a call held back by the rate limit is tried again.
inline constexpr Seconds min_bucket_wait{0.002};
inline constexpr Seconds max_bucket_wait{1.0};
// share of the published limits a leader and a follower use; two followers and one leader stay
// below the whole.
inline constexpr double leader_rate_share = 0.6;
inline constexpr double follower_rate_share = 0.17;
// keys a page; PROTOCOL allows 1,000 or 512 KiB.
inline constexpr int list_page = 500;

// share of the cloud's calls that the leader uses; nobody else calls, but a former leader may have
// used some just before.
inline constexpr double cloud_rate_share = 0.9;

// calls for users that may wait for the rate limit: as many as are out in a second, and at least so
// many.
inline constexpr std::size_t min_queued_user_requests = 60;

// --- leader election ---
// milliseconds; duration of the leader lease: long enough to survive lost packets and slow
// responses, short enough that worker leases outlast a failover.
inline constexpr std::chrono::milliseconds leader_lease_ttl{4000};
// seconds between checks of the leader lease; far below its duration.
inline constexpr Seconds election_tick{0.1};
// seconds between renewals; three attempts fit into the duration of the lease.
inline constexpr Seconds leader_lease_renew_interval{1.0};
// seconds; timeout of calls that create or renew a leader lease.
inline constexpr Seconds leader_lease_call_timeout{1.5};
// fraction; the bound PROTOCOL gives for drift of steady clocks, doubled for two clocks.
inline constexpr double clock_drift = 0.001;
// seconds; allowance for late timers and packets wherever a lease must have expired.
inline constexpr Seconds lease_margin{1.0};
// jobs whose task counts one status names; the counts are for display only.
inline constexpr std::size_t max_advertised_jobs = 3000;
// seconds between status broadcasts to the peers.
inline constexpr Seconds peer_heartbeat_interval{1.0};
// cancelled jobs that one status names; a status that would have to name more confirms nothing.
// Jobs that are cancelled and have no final state are few, except in a long outage.
inline constexpr std::size_t max_advertised_cancellations = 6000;
// seconds; a peer's status describes the present for this long.
inline constexpr Seconds max_peer_status_age{3.0};

// seconds over which heartbeats are counted to see whether workers reach their leader. A worker
// that does not is redirected by a peer every 5 s or so (PROTOCOL: 4 s without a response, 1 s to
// the next controller), so that each of them is counted within it; far below a worker lease.
inline constexpr Seconds reachability_window{6.0};
// times as many heartbeats redirected by peers as arrive at which a leader resigns: a fault of one
// zone or of some machines does not reach it.
inline constexpr std::uint64_t resign_ratio = 4;
// times `heartbeat_interval` between two heartbeats at most (PROTOCOL: plus or minus a quarter).
inline constexpr double heartbeat_jitter = 1.25;
// machines below which silence says nothing about whether workers reach the leader. Not more: a
// small fleet whose leader waits for the peers' counts loses its leases.
inline constexpr std::size_t reachability_min_machines = 3;
// seconds for which a controller that has resigned does not campaign, unless workers reach it.
inline constexpr Seconds resign_cooldown{30.0};

// share of the time that a cut-off leader may go on responding for which one responds that has not
// replayed the journal yet: cancellations may have waited for it since before its election.
inline constexpr double unready_response_share = 0.25;

// --- users ---
// seconds; polls are gathered for this long and confirmed by one compare.
inline constexpr Seconds poll_batch_window{0.015};
// seconds; a response of the state service to a call sent longer ago is not passed on to users:
// another controller may have reported a later state since. Above the few hundred ms that a
// response sometimes takes, and below the timeout of a poll.
inline constexpr Seconds max_read_age{1.0};
// seconds; for this long a user's change that was throttled by the state service is tried again.
inline constexpr Seconds submission_retry_window{1.0};
// seconds; the value of Retry-After.
inline constexpr std::chrono::seconds retry_after{1};
// tasks; PROTOCOL's bound on one job.
inline constexpr std::uint64_t max_tasks = 100'000;
// bytes; longest job id accepted, so that every key made of it stays below 200 bytes.
inline constexpr std::size_t max_id_bytes = 40;
// bytes; a submission's texts are short names. Keeps a job record below the value limit.
inline constexpr std::size_t max_name_bytes = 200;

// --- records ---
// share of the state service's limit on a value that one of ours may fill.
inline constexpr double value_fill_share = 0.9;
// changes that a transaction must at least be able to carry.
inline constexpr int min_txn_ops = 2;
// bytes of a value that a bitmap in hex may take; the rest is for the entry around it, which holds
// one job id of at most `max_id_bytes`, and for the record.
inline constexpr double bitmap_value_share = 0.5;
// bytes that one run of a journal entry takes at most with the machine names of the cloud in
// PROTOCOL's form and five digits an index; a longer one makes its entry longer than planned, which
// the share that is left free allows for.
inline constexpr std::size_t journal_run_bytes = 40;
// tasks a done bitmap of a snapshot holds at most; fewer where a value must be small.
inline constexpr std::size_t max_bitmap_chunk_tasks = 16'000;
// bytes of values in one transaction; PROTOCOL's bound is 64 KiB with everything around them.
inline constexpr std::size_t max_transaction_bytes = 48'000;
// segments; the ring of keys that the journal goes round in.
inline constexpr std::uint64_t journal_ring = 1024;
// segments that may have to be read after the snapshot: at least so many, and more, up to the whole
// ring, in proportion to the parts of the snapshot. A snapshot is due after half of them, so that
// the other half is there while it is written. Version 0.1.0 has a ring of just the least, and goes
// on from a longer one after a snapshot of its own.
inline constexpr std::uint64_t min_open_segments = 256;
inline constexpr std::uint64_t open_segments_per_chunk = 4;
// bytes of segments after which a snapshot is due, unless the last snapshot was larger than half of
// it: then twice its size, so that at most every third byte written is a snapshot's.
inline constexpr std::size_t min_journal_bytes_before_snapshot = 64 * 1024;
inline constexpr std::size_t segment_bytes_per_snapshot_byte = 2;
// runs one journal entry carries at most, so that records can be cut between entries; fewer where a
// value must be small.
inline constexpr std::size_t max_journal_entry_runs = 64;
// share of the state service's changes a second that segments of the journal may take; at the usual
// limits this is one every 0.15 s or so, which is also what a start waits for it.
inline constexpr double journal_rate_share = 0.15;
// share of the state service's changes a second that the journal may take in all. Where values are
// small its transactions have many; without this bound final records, which come after the journal,
// fell behind by minutes.
inline constexpr double journal_change_share = 0.3;
// parts of a snapshot in one transaction; more would hold up users' writes, and only a snapshot
// that would not be written before the segments run out has more.
inline constexpr std::size_t min_snapshot_chunks_per_write = 2;
// seconds before a transaction of the journal that was refused or not answered is sent again.
inline constexpr Seconds journal_retry_pause{0.1};
// tasks one machine takes at most; keeps its reports and the answers within PROTOCOL's bounds.
inline constexpr std::size_t max_tasks_per_machine = 150;
// seconds between passes that write final records.
inline constexpr Seconds finalize_interval{0.04};
// seconds between looks for jobs whose final record was held up by something else's change.
inline constexpr Seconds finalize_sweep_interval{2.0};
// bits of an attempt number left to count within one leader's token.
inline constexpr int attempt_bits = 24;

// --- workers ---
// seconds; pause of the dispatcher's clock, half a pass of the writers.
inline constexpr Seconds leader_tick{0.02};
// seconds between looks at the leases; fine against leases of several seconds.
inline constexpr Seconds lease_check_interval{0.5};
// seconds after which a worker gives up waiting for an answer (PROTOCOL).
inline constexpr Seconds worker_response_timeout{4.0};
// reports missed before a machine counts as late.
inline constexpr double overdue_heartbeats = 2.5;
// seconds added to it, for late timers and packets.
inline constexpr Seconds overdue_slack{1.0};
// seconds a machine is avoided after a failure, doubling.
inline constexpr Seconds initial_avoid_time{4};
// seconds the answer to a report is kept back when a start for that machine is on its way into the
// journal: far below the 4 s after which a worker gives up, and below the gap between reports.
inline constexpr Seconds max_response_hold{0.5};
// heartbeat intervals before its preemption at which a machine's tasks are stopped, besides the
// time that a gang saves: one heartbeat brings the stop and a later one proves that the task has
// gone.
inline constexpr double preemption_stop_heartbeats = 2.5;
// starts that the next report does not show, or sessions that end without showing any, before our
// answers are taken not to arrive.
inline constexpr int max_unacknowledged_starts = 2;
// leases after which a machine that does not hear us is given back.
inline constexpr double unresponsive_leases_before_release = 3;

// --- planning ---
// units; the paper's cost of a task with its image at hand and without (section 3.1).
inline constexpr double local_units = 1.0;
inline constexpr double remote_units = 3.0;
// units; how far the bound may rise above its start while remote placement goes on (ours, open).
inline constexpr double remote_offset_units = 1.0;
// seconds between plans at most; a plan costs processor time that reports need too.
inline constexpr Seconds min_plan_interval{0.2};
// seconds of each period in which free room is reserved for a gang that does not fit: in 40 s tasks
// of half a minute free enough of it, and single tasks, which may not wait 90 s beside free room,
// get their turn in the rest of the period.
inline constexpr Seconds gang_reservation_time{40.0};
inline constexpr Seconds gang_reservation_period{55.0};
// share of the gang assembly timeout within which a lost task is replaced; later than that, a new
// attempt is complete sooner.
inline constexpr double gang_replacement_share = 0.4;
// seconds after the newest gang of a class for which room is kept ready for the next one.
inline constexpr Seconds gang_room_kept_for{120.0};
// seconds; the shortest run time that the planner assumes, so that no load is zero.
inline constexpr Seconds min_estimated_run_time{1.0};
// pause after a plan, in multiples of the time that it took: plans use at most a tenth of the
// processor's share.
inline constexpr double planning_pause_factor = 9;
// batches of arrays in one plan: each uses what the one before it leaves free.
inline constexpr int max_array_batches = 3;
// seconds after its submission by which an array without a deadline or aim should be finished.
inline constexpr Seconds default_completion_target{300};
// multiple of its completion target up to which an array is planned by that target: users have an
// aim at 1.5 times the target beside the one at the target itself.
inline constexpr double overdue_target_factor = 1.5;
// seconds that the first task of an array waits before it starts in any free room, also where it
// has to fetch: half of the 90 s for which nothing may wait beside free room.
inline constexpr Seconds max_first_task_wait{45};
// seconds that an array waits before its first tasks go before all other arrays: PROTOCOL wants the
// largest to begin within 240 s.
inline constexpr Seconds starvation_wait{150};
// divisor of a starved array's tasks that gives how many go first: a twentieth begins it, and
// leaves room for the others.
inline constexpr std::uint32_t starved_array_divisor = 20;
// searches for work to preempt in one plan: each goes through all machines.
inline constexpr int max_preemption_searches = 20;
// heartbeat intervals of startup delay that a replica accepts for a machine full of services rather
// than one without any: enough to keep replicas together, too little to wait for a fetch.
inline constexpr double service_packing_heartbeats = 1.0;
// heartbeat intervals of startup delay that a replica accepts for a zone with none of its class's
// replicas rather than one with all of them.
inline constexpr double zone_spread_heartbeats = 2.0;
// shares of a type's usual boot time between which a machine is up (PROTOCOL: usually 0.6 to 1.5).
inline constexpr double boot_earliest_share = 0.6;
inline constexpr double boot_latest_share = 1.5;
// seconds after its submission up to which a replica is left to wait for a machine that boots: half
// of the 90 s after which waiting beside room counts as a fault, and some for the fetch.
inline constexpr Seconds max_boot_wait{55};
// tolerance of LABL's comparisons, so that rounding does not push a sum of loads above a limit.
inline constexpr double labl_rounding_slack = 1e-9;
// rounds after which LABL leaves the rest unassigned, so that no input holds up a plan.
inline constexpr int max_labl_rounds = 400;
// units; where the search for LABL's lower bound ends, so that it ends for every input.
inline constexpr std::uint64_t max_labl_bound_units = std::uint64_t{1} << 32;

// --- machines ---
// times the type's boot time after which a machine that never reported is given back.
inline constexpr double boot_timeout_factor = 4.0;
// seconds added to it, for types that boot at once.
inline constexpr Seconds boot_timeout_floor{30.0};
// seconds a machine may stay silent beyond its lease before it is given back. One that has died is
// listed as failed after half a minute; one that hangs or is cut off comes back with its images.
inline constexpr Seconds silence_grace{90.0};
// seconds that the fleet keeps room for its highest demand; deleting costs at least 60 s of rent.
inline constexpr Seconds idle_keep{40.0};
// times that demand: room for what comes next.
inline constexpr double fleet_headroom = 1.1;
// share of the fleet that may begin to drain in one pass.
inline constexpr double drain_share = 0.05;
// share of a machine that services may hold when it is emptied by moving them elsewhere.
inline constexpr double move_share = 0.5;
// share of the replicas' time that moving them may cost.
inline constexpr double moving_cost = 0.005;
// seconds; where two moves would have to be further apart than this, replicas are so few that a
// single move is felt, and none is made.
inline constexpr Seconds max_moving_pause{60};
// reports' intervals that a replica on the move is down.
inline constexpr double moving_reports = 2.0;
// failures in a row, of different jobs, that put a machine in quarantine.
inline constexpr int quarantine_failures = 3;
// seconds; first and longest pause before a failed task is tried again.
// The longest leaves time to find a place within the 90 s after which waiting counts as a fault.
inline constexpr Seconds initial_retry_pause{1.0};
inline constexpr Seconds max_retry_pause{45.0};
// tasks of a job that fails wherever it runs that are out at once: enough to see when it is mended,
// without room kept busy for the rest.
inline constexpr std::uint32_t max_retrying_tasks = 2;
// seconds between looks at types and prices; prices move slowly.
inline constexpr Seconds catalog_refresh_interval{60.0};
// seconds before a rental without an answer is asked for again.
inline constexpr Seconds rental_retry_pause{2.0};
// seconds before a release that the cloud refused or did not answer is sent again.
inline constexpr Seconds release_retry_pause{1.0};
// names; PROTOCOL's bound on one release.
inline constexpr std::size_t max_released = 100;
// share of the cloud's calls that the pages of a machine list may take.
inline constexpr double list_call_share = 0.25;
// seconds between machine lists.
inline constexpr Seconds list_interval{5.0};
// seconds; first and longest pause before a type and zone that had no capacity is asked again. It
// doubles, so that refusals do not use up the cloud's calls.
inline constexpr Seconds initial_no_capacity_pause{15.0};
inline constexpr Seconds max_no_capacity_pause{60.0};
// seconds; a cloud call is given up after this.
inline constexpr Seconds cloud_timeout{8.0};
// seconds between passes over the fleet's size.
inline constexpr Seconds capacity_pass_interval{1.0};
// machines in one rental request; PROTOCOL's bound.
inline constexpr int max_rented_machines = 50;
// seconds; a machine for a service is worth twice its price when its replica is up this much
// sooner. About a boot: below it price decides, far above it speed does.
inline constexpr Seconds service_delay_worth{30.0};
// how much dearer a kind of machine counts when the whole fleet is of it: no type or zone should
// hold everything.
inline constexpr double kind_spread = 0.3;
// share of the running services' cores kept free or booting for the next ones.
inline constexpr double service_reserve = 0.12;

}  // namespace poppystile::constants
