package org.shoreusher.core;

import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * Cordons machines that must get no more tasks: faulty or slow ones, those with an interruption
 * notice or behind a one-way partition, unresponsive ones, and those that failed to boot. They are
 * drained and then terminated.
 */
final class Retirement {
    private final Part part;
    private final Settings settings;
    private final Outbox outbox;

    /** Creates the cordon of a shard. */
    Retirement(Part part, Settings settings, Outbox outbox) {
        this.part = part;
        this.settings = settings;
        this.outbox = outbox;
    }

    /** Checks all machines of the shard and sets those to be cordoned to draining. */
    void step() {
        boolean deafAreFaulty = deafAreFaulty();
        for (Machine m : part.machines().values()) {
            String fault = fault(m, deafAreFaulty);
            if (fault != null) {
                outbox.logInfo("retired: " + m.id + fault);
                m.state = Machine.State.DRAINING;
            } else if (m.state == Machine.State.UP
                    && !Double.isNaN(m.noticeS)
                    && m.tasks.isEmpty()) {
                m.state = Machine.State.DRAINING;
            }
            if (m.state == Machine.State.DRAINING) {
                moveReplicas(m);
            }
        }
    }

    /**
     * Whether machines behind a one-way partition are themselves at fault. If many are, the fault
     * is more likely in this node's network.
     */
    private boolean deafAreFaulty() {
        long deaf = part.machines().values().stream().filter(Machine::deaf).count();
        return deaf <= Math.max(1, part.machines().size() * Tuning.DEAF_SHARE);
    }

    /** The reason to cordon a machine, as the rest of a log line; null if there is none. */
    private String fault(Machine m, boolean deafAreFaulty) {
        if (m.state == Machine.State.BOOTING && neverCameUp(m)) {
            return " did not come up in " + ageMs(m) / 1000 + " s";
        }
        if (m.state == Machine.State.UP && m.failedJobs.size() >= Tuning.FAULTY_ERRORS) {
            return ", tasks of " + m.failedJobs.size() + " jobs failed on it";
        }
        if (m.state == Machine.State.UP && m.slow()) {
            return ", its tasks take far longer than others of their jobs";
        }
        if (m.state == Machine.State.UP && m.deaf() && m.tasks.isEmpty() && deafAreFaulty) {
            return " reports but hears nothing";
        }
        boolean noticed = m.state == Machine.State.UP && !Double.isNaN(m.noticeS);
        return !noticed && silent(m) ? " has been silent for " + silenceMs(m) / 1000 + " s" : null;
    }

    private long ageMs(Machine m) {
        return outbox.now.wallMs() - m.rentedWallMs;
    }

    /**
     * Whether a machine is far beyond its boot time. One that a previous leader used did boot:
     * without that check, a successor terminated all machines behind a network partition, and their
     * replacements had empty image caches.
     */
    private boolean neverCameUp(Machine m) {
        return !m.used && ageMs(m) > Tuning.BOOT_PATIENCE * m.type.bootS() * 1000;
    }

    private long silenceMs(Machine m) {
        return outbox.now.monotonicMs() - m.answeredAtMs;
    }

    /**
     * Whether an empty machine's lease expired long enough ago that it has cost its minimum charge.
     */
    private boolean silent(Machine m) {
        return m.used
                && (m.state == Machine.State.UP || m.state == Machine.State.BOOTING)
                && m.tasks.isEmpty()
                && silenceMs(m) > PartLease.workerLeaseBoundMs(settings) + Tuning.MIN_CHARGE_MS;
    }

    /**
     * Evicts service replicas from a draining machine, since they never end by themselves; they are
     * started again elsewhere.
     */
    private void moveReplicas(Machine m) {
        for (TaskAttempt live : m.tasks.values()) {
            if (!live.job.spec.shape().ends() && !live.mustStop) {
                live.mustStop = true;
                part.taskEviction().halt(live, 0);
            }
        }
    }
}
