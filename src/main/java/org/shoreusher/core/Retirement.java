package org.shoreusher.core;

import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * Marks machines that must not get more work: faulty, noticed, deaf, silent, dead in their boot.
 */
final class Retirement {
    private final Part part;
    private final Settings settings;
    private final Outbox outbox;

    Retirement(Part part, Settings settings, Outbox outbox) {
        this.part = part;
        this.settings = settings;
        this.outbox = outbox;
    }

    /** Looks at all machines of the part. */
    void step() {
        boolean deafAreFaulty = deafAreFaulty();
        for (Machine m : part.machines().values()) {
            String fault = fault(m, deafAreFaulty);
            if (fault != null) {
                outbox.log("retired: " + m.id + fault);
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

    /** Whether deaf machines are at fault: if many seem deaf, it is this node they don't hear. */
    private boolean deafAreFaulty() {
        long deaf = part.machines().values().stream().filter(Machine::deaf).count();
        return deaf <= Math.max(1, part.machines().size() * Tuning.DEAF_SHARE);
    }

    /** What is wrong with a machine; null if nothing is. */
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
     * One that an owner before has used did come up. Taken for dead in their boot, all machines
     * behind a cut were returned by a taker, and came back with the zone as new ones without
     * images.
     */
    private boolean neverCameUp(Machine m) {
        return !m.used && ageMs(m) > Tuning.BOOT_PATIENCE * m.type.bootS() * 1000;
    }

    private long silenceMs(Machine m) {
        return outbox.now.steadyMs() - m.answeredAtMs;
    }

    private boolean silent(Machine m) {
        return m.used
                && (m.state == Machine.State.UP || m.state == Machine.State.BOOTING)
                && m.tasks.isEmpty()
                && silenceMs(m) > PartLease.workerLeaseMs(settings) + Tuning.MIN_CHARGE_MS;
    }

    /**
     * Replicas never end by themselves: on a machine that is to go they are stopped, and run again
     * elsewhere.
     */
    private void moveReplicas(Machine m) {
        for (TaskAttempt live : m.tasks.values()) {
            if (!live.job.spec.shape().ends() && !live.mustStop) {
                live.mustStop = true;
                part.stops().halt(live, 0);
            }
        }
    }
}
