package org.shoreusher.settings;

/**
 * Every constant of the service, with its unit and the reason for its value. What an operator's
 * deployment decides (rates, leases, limits) comes from the settings file and is not here.
 */
public final class Tuning {
    private Tuning() {}

    // ---- part leases -------------------------------------------------------------------------
    /** ms; how long a part's lease lasts without renewal. The design's value. */
    public static final long LEASE_MS = 9_000;

    /**
     * share of the workers' leases that a part's lease takes at most: what is left is for the
     * takeover and a round of reports.
     */
    public static final double LEASE_OF_WORKERS = 0.65;

    /**
     * times the clocks' bound and margin that a part's lease is at least, however short the
     * workers' are.
     */
    public static final int LEASE_SLACKS = 6;

    /** ms; a heartbeat that got no answer is tried again after this, well inside the lease. */
    public static final long HEARTBEAT_RETRY_MS = 400;

    /** ms; owner stops this early and taker waits this long on top of the clocks' bound. */
    public static final long LEASE_MARGIN_MS = 250;

    /**
     * ms; longest time after a lapse during which an owner keeps its workers alive; takers wait for
     * silent machines as much longer.
     */
    public static final long GRACE_MAX_MS = LEASE_MS;

    /** share; steady clocks run up to 0.05% apart (protocol); twice that, for two of them. */
    public static final double DRIFT = 0.001;

    /** ms; an owner whose view of the store is older than this acts as if its lease had lapsed. */
    public static final long VIEW_STALE_MS = 9_000;

    /**
     * ms; what the sum of a stale view and a worker's lease stays below the time for cancellations:
     * a batch of commands, an answer's way, a tick.
     */
    public static final long CANCEL_MARGIN_MS = 1_500;

    /** ms; wait between two attempts to take a part, and per part already held. */
    public static final long TAKE_PAUSE_MS = 700;

    /**
     * ms; wait after a takeover that another one came before; the view needs about this long to
     * show it.
     */
    public static final long TAKE_AGAIN_MS = 100;

    /** ms; what a silent machine's tasks are kept beyond the arithmetic bound. */
    public static final long SILENT_MARGIN_MS = 500;

    /** share of the value limit that one record of finished tasks may fill; the rest is slack. */
    public static final double RECORD_FILL = 0.75;

    /**
     * number of parts; the code is for any number, docs/design.md has the figures that make it one.
     */
    public static final int PARTS = 1;

    /** ms; how often a node looks whether it holds two parts more than another. */
    public static final long DEAL_EVERY_MS = 5_000;

    /** s; a peer that is up for less gets no part dealt; it may be in a rolling restart. */
    public static final double DEAL_TO_UP_S = 10;

    /** ms; how often shares of team limits are weighed. */
    public static final long QUOTA_EVERY_MS = 500;

    /**
     * machines' worth of CPUs that must stay free when a machine is to run empty for another part.
     */
    public static final double YIELD_SLACK = 0.5;

    /** weight of a team's CPUs in a part when its next job is dealt out. */
    public static final double TOGETHER = 3;

    /** ms; a machine must have been idle for so long before it is handed to another part. */
    public static final long HANDOVER_IDLE_MS = 1_000;

    /**
     * ms; a worker that can't reach an owner comes to another node about so often: its patience of
     * 4 s, a pause of 1 s, and the time it is kept waiting.
     */
    public static final long COMES_BACK_MS = 8_000;

    /**
     * ms; a worker that was kept waiting asks every half second; after a longer pause it has been
     * with the owner again.
     */
    public static final long CAME_ANEW_MS = 2_000;

    /**
     * ms; a worker that comes from an owner is kept waiting so long for the part to be given up.
     */
    public static final long KEPT_WAITING_MS = 3_000;

    /** share of all machines that must come for them to be kept waiting. */
    public static final double MANY_COME_SHARE = 0.2;

    /**
     * share of its machines that must have come to others before an owner gives the part up: a zone
     * cut off has about half.
     */
    public static final double UNREACHED_SHARE = 0.6;

    /** ms; who has given a part up for this leaves it to others so long. */
    public static final long LEAVE_TO_OTHERS_MS = 15_000;

    /**
     * ms; how often an owner looks over all of its machines and jobs; reports are answered in
     * between.
     */
    public static final long WALK_MS = 100;

    /**
     * machines times jobs that a plan may look at per ms since the last one: one of 300 free
     * machines and 30 jobs is 5,700 and takes 2.4 ms of a whole core, so it is kept 15 ms.
     */
    public static final long PLAN_STEPS_PER_MS = 400;

    // ---- state service -----------------------------------------------------------------------
    /** ms; a watch blocks this long, so the view's age is known to about this. */
    public static final long WATCH_BLOCK_MS = 2_000;

    /** ms; pause between watches, so that a burst of changes costs one request. */
    public static final long WATCH_GAP_MS = 40;

    /**
     * share of a node's requests that its watch may take; at 22 a second that is one every 130 ms.
     */
    public static final double WATCH_SHARE = 0.35;

    /**
     * ms; a view that is older when its watch fails is read anew in pages: what a watch would bring
     * has no bound on its size.
     */
    public static final long RELOAD_AFTER_MS = 20_000;

    /** ms; pause after a failed state call of the view. */
    public static final long STATE_RETRY_MS = 300;

    /** ms; a state call is given up after this; answers take 10 ms, now and then some hundred. */
    public static final long STATE_TIMEOUT_MS = 1_500;

    /** share of the state service's and cloud's rates that the nodes plan to use together. */
    public static final double RATE_USE = 0.9;

    /** share of a node's state tokens set aside for heartbeats. */
    public static final double RENEWAL_SHARE = 0.1;

    /**
     * share of the write rate for owners' background work; users' writes have a node's share each,
     * and seldom need it.
     */
    public static final double OWNER_WRITE_SHARE = 0.8;

    /**
     * records of finished tasks in one write, so that it stays below the 64 KiB of a transaction.
     */
    public static final int RECORDS_AT_ONCE = 8;

    /**
     * ms; pause between two writes of machines' records, in which more gather: at most 7 changes of
     * groups a second and part.
     */
    public static final long RECORDS_EVERY_MS = 150;

    /** changes in a transaction that the state service must allow: a takeover makes three. */
    public static final int LEAST_TXN_OPS = 4;

    /**
     * bytes; below this value limit ten machines share a record, else a hundred, which take up to
     * 4,000.
     */
    public static final int WIDE_GROUP_BYTES = 6_000;

    /** bytes that a job's name and framing take in such a record. */
    public static final int RECORD_FRAME = 24;

    /** bytes per task that a job's ranges may take when every other task is finished. */
    public static final int RECORD_PER_TASK = 3;

    /**
     * entries per page when the store or the machine list is read; the bounds are 1,000 and 500.
     */
    public static final int PAGE = 500;

    /** ms; a node without a state answer for so long is not ready, so users go elsewhere. */
    public static final long READY_STATE_MS = 4_500;

    /**
     * reads that validate answers to users in flight at once; further questions gather meanwhile.
     */
    public static final int READS_AT_ONCE = 2;

    /** final job states kept in memory per node; older ones are read from the store. */
    public static final int FINAL_STATES = 20_000;

    // ---- users -------------------------------------------------------------------------------
    /** s; Retry-After when a request can't be taken just now. */
    public static final int RETRY_AFTER_S = 1;

    /**
     * s; requests refused one after the other are told times so far apart, so that they don't all
     * come back together.
     */
    public static final int RETRY_SPREAD_S = 3;

    /** s; the Retry-After of a refused request. */
    public static int retryAfterS(long request) {
        return RETRY_AFTER_S + (int) (request % RETRY_SPREAD_S);
    }

    /** tasks; the protocol's bound on one job. */
    public static final int MAX_TASKS = 100_000;

    /** tries; how often a guarded user write is repeated after another change came first. */
    public static final int WRITE_TRIES = 3;

    /**
     * writes of submissions in flight at once; further ones gather meanwhile and share the next.
     */
    public static final int ACCEPTS_AT_ONCE = 2;

    /** submissions that may wait for the next writes; four records of 6 KiB hold about as many. */
    public static final int ARRIVALS_WAITING = 64;

    /**
     * ms; a submission that no write has taken by then is refused: a token for one comes within 300
     * ms at the slowest rate seen.
     */
    public static final long ACCEPT_WAIT_MS = 600;

    /**
     * ms; a question about an unknown job is given up if the view takes longer to show all
     * arrivals; users wait 2 s.
     */
    public static final long UNSEEN_WAIT_MS = 1_000;

    /** ms; how often records of arrivals that nothing needs any more are removed. */
    public static final long SWEEP_EVERY_MS = 2_000;

    /**
     * times the time for cancellations after which a cancelled job's record leaves the memory:
     * surely none of its tasks is left.
     */
    public static final double CANCELLED_KEPT = 2;

    /** user requests in work at once per node; more are answered 503 at once. */
    public static final int MAX_USER_WORK = 200;

    // ---- workers -----------------------------------------------------------------------------
    /** share of report_s after which a machine without report gets no plans. */
    public static final double QUIET_REPORTS = 2.5;

    /** ms; a worker waits so long for an answer before it asks elsewhere (protocol). */
    public static final long WORKER_PATIENCE_MS = 4_000;

    /**
     * times report_s after which a report is due at the latest; workers give or take a quarter
     * (protocol).
     */
    public static final double REPORT_SPREAD = 1.25;

    /**
     * ms; how much later than due a report may be without meaning that its worker had to ask
     * elsewhere.
     */
    public static final long REPORT_SLACK_MS = 1_000;

    /**
     * answers in a row that a worker seems not to have heard after which it counts as deaf; one may
     * be lost by chance.
     */
    public static final int DEAF_AFTER = 2;

    /**
     * share of a part's machines that may be deaf before the fault is looked for in this node's
     * network, not in them.
     */
    public static final double DEAF_SHARE = 0.25;

    /**
     * names of machines that are gone which an owner remembers, so that late copies of their
     * reports bring none back; 6,000 machines replaced three times within minutes, some 2 MB.
     */
    public static final int GONE_NAMES = 20_000;

    /**
     * ms; a machine taken for gone that lists still show after this, far beyond their lag, is there
     * after all.
     */
    public static final long GONE_STILL_LISTED_MS = 60_000;

    /**
     * tasks on a machine, exited ones that it still shows included; 90 bytes each keep report and
     * answer below 64 KiB.
     */
    public static final int MOST_TASKS_ON_MACHINE = 500;

    /** ms; pause between two direct halts of the same task. */
    public static final long HALT_AGAIN_MS = 2_000;

    /** ms; a direct call to a worker is given up after this. */
    public static final long ORDERS_TIMEOUT_MS = 3_000;

    /** bits of an attempt number below the term; 16 million starts in one term. */
    public static final int ATTEMPT_BITS = 24;

    /** failed tasks in a row, of different jobs, that make a machine faulty. */
    public static final int FAULTY_ERRORS = 3;

    /**
     * ms; first pause after a task failed; doubles to FAIL_PAUSE_MAX_MS, for a job that always
     * fails.
     */
    public static final long FAIL_PAUSE_MS = 1_000;

    /**
     * ms; a replica that has run for so long did not fail at its start: what failed before is
     * forgotten.
     */
    public static final long STEADY_MS = 20_000;

    /** ms; longest such pause. */
    public static final long FAIL_PAUSE_MAX_MS = 30_000;

    /**
     * share of a part's CPUs that may be kept for larger tasks until machines have room for them.
     */
    public static final double KEPT_SHARE = 0.1;

    /**
     * share of a part's CPUs for which tasks are marked as startable beyond those that a plan has
     * room for: what ends between two plans.
     */
    public static final double MARKED_AHEAD = 0.05;

    /** share of an owner's changes that marks may take; further ones gather meanwhile. */
    public static final double MARKS_SHARE = 0.5;

    /** bytes that a mark takes in its record, besides the job's name. */
    public static final int MARK_FRAME = 10;

    /**
     * times the last mark of a job that the next one is at least, so that a large job's tasks cost
     * a handful of writes.
     */
    public static final int MARK_GROWTH = 2;

    // ---- policy ------------------------------------------------------------------------------
    /** weight of one finished task in the correction of its class's estimates. */
    public static final double ESTIMATE_WEIGHT = 0.05;

    /**
     * s; a job that no aim speaks of, or that has missed all, counts as if it had so long in all.
     */
    public static final double PATIENCE_S = 600;

    /**
     * s; a job of which nothing has begun for so long goes before all others: even the largest must
     * begin within 240 s.
     */
    public static final double STARVED_S = 150;

    /** CPUs or GB; sums of decimal amounts are compared with this slack. */
    public static final double EPSILON = 1e-9;

    /** CPUs; a part of which nothing is heard gets jobs only if all others are far behind. */
    public static final double UNKNOWN_ROOM = -1_000;

    /** s; no task is expected to run shorter. */
    public static final double LEAST_RUN_S = 1;

    /**
     * s; from the decision to start a task to its running, image aside: about a report and a
     * command.
     */
    public static final double START_LAG_S = 2;

    /** GB/s; no machine is taken to fetch images slower. */
    public static final double LEAST_FETCH = 0.01;

    /** ms; how often preemption is considered. */
    public static final long PREEMPT_EVERY_MS = 1_000;

    /**
     * ms; a start counts for the aims only if no command stops the task within 30 s (protocol);
     * plus a margin.
     */
    public static final long START_COUNTS_MS = 32_000;

    /** s; a job whose last chance to start is further away can spare a running task. */
    public static final double SPARE_SLACK_S = 60;

    /**
     * s; a job of normal priority whose last chance to start is nearer than this may have tasks of
     * low priority stopped.
     */
    public static final double PRESSING_SLACK_S = 20;

    /** times the save time that a stopped task is given, as machines differ in speed. */
    public static final double SAVE_SLACK = 2;

    /**
     * times the mean of their jobs that a machine's tasks take when it is retired as slow; good
     * ones differ by a tenth, tasks by half.
     */
    public static final double SLOW_TIMES = 2.5;

    /** tasks that must have finished before a mean or a machine's pace is believed. */
    public static final int PACE_TASKS = 4;

    /** weight of the newest task in a machine's pace. */
    public static final double PACE_WEIGHT = 0.3;

    /** s; shorter tasks say nothing of a pace, since reports are about a second apart. */
    public static final double PACE_LEAST_S = 5;

    // ---- cloud -------------------------------------------------------------------------------
    /** ms; a cloud call is given up after this; answers take 150 ms. */
    public static final long CLOUD_TIMEOUT_MS = 4_000;

    /** ms; how often the rental plan is made. */
    public static final long RENT_EVERY_MS = 1_000;

    /** ms; how often the machine list is read. */
    public static final long LIST_EVERY_MS = 5_000;

    /** ms; the same while a part is rebuilt. */
    public static final long LIST_IN_REBUILD_MS = 1_000;

    /** ms; how often prices are read again. */
    public static final long FLAVORS_EVERY_MS = 60_000;

    /** ms; pause after a refused or failed cloud call. */
    public static final long CLOUD_RETRY_MS = 1_000;

    /** ms; a kind of machine refused for capacity is not asked for again for this long. */
    public static final long NO_CAPACITY_MS = 8_000;

    /** times the nominal boot time after which a machine is held to be dead and deleted. */
    public static final double BOOT_PATIENCE = 4.0;

    /** machines in one rental request at most (protocol: 50). */
    public static final int RENT_AT_ONCE = 50;

    /** machines in one return at most (protocol: 100). */
    public static final int RETURN_AT_ONCE = 100;

    /** ms; an idle machine is kept this long for work to come. */
    public static final long IDLE_KEEP_MS = 20_000;

    /** ms; the same for an ordinary machine, which costs more to keep. */
    public static final long IDLE_KEEP_ORDINARY_MS = 5_000;

    /**
     * halves of the largest service for which ordinary room is kept in each zone: so many come in
     * the time of a boot.
     */
    public static final int STANDBY_SERVICES = 3;

    /** CPUs kept so before the first service, whose size nobody knows: two of eight replicas. */
    public static final double STANDBY_FIRST_CPUS = 16;

    /** times the spot price up to which an ordinary machine is as good as a spot one. */
    public static final double ORDINARY_FACTOR = 1.5;

    /**
     * shares of a machine, more than any can be free: what stands between ordinary machines and
     * spot ones in the order in which they are filled.
     */
    public static final double DEAR_LAST = 10;

    /** the same for machines on which tasks of the job have failed: tried after all others. */
    public static final double FAILED_LAST = 100;

    /** CPUs lacking, as a share of those there, above which dearer ordinary ones are rented too. */
    public static final double ORDINARY_QUEUE = 0.5;

    /** ms; below this age a machine costs its minimum anyway (protocol: 60 s). */
    public static final long MIN_CHARGE_MS = 60_000;

    /** s; work without an aim in reach is rented for so that it takes about this long. */
    public static final double RENT_HORIZON_S = 60;

    /**
     * share of the time a job has left that its work should take, so that boot and errors fit into
     * the rest.
     */
    public static final double RENT_TIME_SHARE = 0.5;

    /**
     * ms; a machine that no list shows although it should is gone; slack on twice the list's lag.
     */
    public static final long LIST_SLACK_MS = 3_000;

    // ---- front -------------------------------------------------------------------------------
    /** bytes; the protocol's bound on a request body. */
    public static final int MAX_BODY = 64 * 1024;

    /** bytes; a state answer has no bound for watches; one this long is treated as broken. */
    public static final int MAX_STATE_BODY = 8 * 1024 * 1024;

    /** s; a connection that sends nothing for so long is closed. */
    public static final int IDLE_CONNECTION_S = 120;

    /**
     * times report_s after which a worker's connection without a report is closed; they come after
     * 1.25 at most.
     */
    public static final double IDLE_WORKER_REPORTS = 4;

    /** s; the same at the least, above the worker's patience and its pause. */
    public static final double IDLE_WORKER_S = 10;

    /** s; a request that is begun must be complete within this. */
    public static final int REQUEST_READ_S = 10;

    /** levels; deeper messages are refused, and none of the protocol's goes beyond 5. */
    public static final int MAX_DEPTH = 32;

    /**
     * direct commands to workers in flight at once, each on a connection of its own; within
     * OWN_SOCKETS.
     */
    public static final int ORDERS_AT_ONCE = 50;

    /** bytes; a longer hint of a peer is refused. */
    public static final int MAX_HINT = 256 * 1024;

    /** bytes; what the buffer of a hint begins with. */
    public static final int HINT_BUFFER = 512;

    /** entries; a map in a hint said to be longer is refused before it is built. */
    public static final int MOST_HINT_ENTRIES = 10_000;

    /**
     * sockets kept back from the front: 64 calls of the state service and 6 of heartbeats, 30 of
     * the cloud, 50 direct commands, 8 of peers, and the listeners.
     */
    public static final int OWN_SOCKETS = 160;

    /** ms; a connection attempt is given up after this. */
    public static final int CONNECT_MS = 1_000;

    /** idle connections kept per target. */
    public static final int POOL_IDLE = 6;

    /** calls in flight per target; more are failed at once. */
    public static final int POOL_BUSY = 64;

    /**
     * commands that may wait for the core, at the least; more are refused. With more sockets than
     * that it is one of each connection, of which none has two requests open.
     */
    public static final int QUEUE = 4_096;

    /** commands per batch; bounds the time between two clock readings. */
    public static final int BATCH = 64;

    /** s; how often the line on users' waiting is logged, at debug. */
    public static final int LATENCY_LINE_S = 60;

    /** ms; how often moves are planned; a move takes seconds, and a plan walks all jobs. */
    public static final long BALANCE_EVERY_MS = 1_000;

    /** times report_s in which the target of a move must report, or the task goes to the queue. */
    public static final long MOVE_START_REPORTS = 3;

    /** ms; how often an owner logs where its part stands, at debug. */
    public static final long STATUS_LINE_MS = 10_000;

    /** ms; the core's tick. */
    public static final long TICK_MS = 50;

    /**
     * ms; a node this far behind its work answers polls 503 at once: users wait 2 s for one, and
     * workers 4 s.
     */
    public static final long SHED_POLLS_MS = 500;

    /**
     * ms; a node this far behind refuses submissions and cancellations too: users wait 5 s for one.
     */
    public static final long SHED_USERS_MS = 1_500;

    /** ms; how often peers are told hints. */
    public static final long HINT_MS = 500;

    /** ms; a peer whose hints have stopped for this long is quiet; they come every half second. */
    public static final long QUIET_PEER_MS = 1_500;

    /** ms; a hint older than this is not used. */
    public static final long HINT_STALE_MS = 5_000;
}
