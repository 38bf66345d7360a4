package org.shoreusher.core.leadership;

import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;

/**
 * Whether this node is currently the leader of a shard, and under which term: the lease, its expiry
 * and recovery, and the end of the leadership.
 */
final class LeadershipState {
    /** The store cache need not reach any revision before tasks may be started. */
    private static final long NO_REVISION_REQUIRED = 0;

    private final int shardNumber;
    private final String processName;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final LeaderLease lease;
    private long term;
    private long leaderSinceMs;
    private boolean lost;
    private boolean expiryLogged;

    /**
     * The revision that the store cache must reach before tasks may be started after a lease
     * expiry.
     */
    private long requiredRevision = NO_REVISION_REQUIRED;

    /**
     * Creates the state after the store has confirmed the acquisition.
     *
     * @param record the shard's record as written by the acquisition
     * @param sentAt the reading of the clocks when the acquisition was sent
     */
    LeadershipState(
            int shardNumber,
            Settings settings,
            Outbox outbox,
            StoreCache storeCache,
            ShardRecord record,
            ClockReading sentAt) {
        this.shardNumber = shardNumber;
        this.outbox = outbox;
        this.storeCache = storeCache;
        processName = record.leader();
        term = record.term();
        leaderSinceMs = outbox.now().monotonicMs();
        lease = new LeaderLease(settings);
        lease.onConfirmed(record.leaseExpiryWallMs(), sentAt);
    }

    int shardNumber() {
        return shardNumber;
    }

    /** The name of this process, HOST/SUFFIX. */
    String processName() {
        return processName;
    }

    boolean isLost() {
        return lost;
    }

    boolean isLeader() {
        return !lost && lease.isValid(outbox.now());
    }

    boolean mayExtendWorkerLeases() {
        return !lost && lease.isWithinGracePeriod(outbox.now());
    }

    long term() {
        return term;
    }

    /** Raises the term to one that the store has confirmed; a lower one is ignored. */
    void raiseTermTo(long confirmedTerm) {
        term = Math.max(term, confirmedTerm);
    }

    long leaderSinceMs() {
        return leaderSinceMs;
    }

    /** Returns the last confirmed expiry of the lease in wall-clock ms. */
    long leaseExpiryWallMs() {
        return lease.expiryWallMs();
    }

    /**
     * Sets the expiry of the lease after the store has confirmed a write of the shard's record.
     *
     * @param expiryWallMs the expiry that was written, in wall-clock ms
     * @param sentAt the reading of the clocks when the write was sent, or a later one
     * @param revision the revision at which the store applied the write
     */
    void onLeaseConfirmed(long expiryWallMs, ClockReading sentAt, long revision) {
        if (!isLeader()) {
            requiredRevision = revision;
        }
        lease.onConfirmed(expiryWallMs, sentAt);
    }

    /**
     * Returns whether the store cache contains every write up to the renewal with which the lease
     * became valid again after its last expiry.
     */
    boolean isStoreCacheCaughtUp() {
        if (requiredRevision > NO_REVISION_REQUIRED && storeCache.revision() >= requiredRevision) {
            requiredRevision = NO_REVISION_REQUIRED;
        }
        return requiredRevision == NO_REVISION_REQUIRED;
    }

    /** Logs that the lease has expired, once per expiry. */
    void logLeaseExpiry() {
        if (!isLeader() && !lost && !expiryLogged) {
            expiryLogged = true;
            log(LogEventType.LEASE_EXPIRED);
        }
    }

    /** Records and logs that the lease is valid again after an expiry. */
    void recordLeaseRecovery() {
        if (expiryLogged && isLeader()) {
            expiryLogged = false;
            leaderSinceMs = outbox.now().monotonicMs();
            log(LogEventType.LEASE_RECOVERED);
        }
    }

    private void log(LogEventType type) {
        outbox.log(event(type));
    }

    private LogEvent event(LogEventType type) {
        return LogEvent.of(type).with("shard", shardNumber).with("term", term);
    }

    /** Logs that the term was raised above a fencing token that a worker has reported. */
    void logTermRaised(long observedToken) {
        outbox.log(event(LogEventType.TERM_RAISED).with("observed_token", observedToken));
    }

    /** Ends the leadership permanently. */
    void loseLeadership(String reason) {
        if (!lost) {
            lost = true;
            outbox.log(event(LogEventType.LEADERSHIP_LOST).with("reason", reason));
        }
    }
}
