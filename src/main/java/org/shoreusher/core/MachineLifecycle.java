package org.shoreusher.core;

import org.shoreusher.core.StoreSchema.MachineRecord;
import org.shoreusher.settings.Settings;

/** Takes machines on for a part and lets go of them, with the tasks that are or may be on them. */
final class MachineLifecycle {
    private final Part part;
    private final int parts;
    private final Settings settings;
    private final Outbox outbox;
    private final MachineIndex index;
    private final MachineTypes types;
    private final Part.Others others;
    private final PartOwnership ownership;
    private final ResourceLedger ledger;

    MachineLifecycle(
            Part part,
            int parts,
            NodeContext context,
            Part.Others others,
            PartOwnership ownership,
            ResourceLedger ledger) {
        this.part = part;
        this.parts = parts;
        this.others = others;
        this.ownership = ownership;
        this.ledger = ledger;
        settings = context.settings();
        outbox = context.outbox();
        index = context.index();
        types = context.types();
    }

    /** Takes on a machine whose record names this part; null if its type is unknown. */
    Machine addMachine(String id, MachineRecord record) {
        MachineType type = types.get(record.type());
        if (type == null) {
            return null;
        }
        Machine m = new Machine(id, type, record.zone(), record.spot(), record.rentedMs());
        m.used = record.used();
        m.recordedUsed = record.used();
        // The owner before may have kept the worker's lease alive in its grace, as long as it
        // believed this node to be without state service as well.
        m.answeredAtMs =
                ownership.takenAtMs()
                        + Math.max(
                                0,
                                Math.min(
                                        PartLease.graceMs(settings),
                                        others.saidStateAwayUntilMs() - ownership.takenAtMs()));
        m.inheritedAnswerMs = m.answeredAtMs;
        part.machines().put(id, m);
        return m;
    }

    /** A machine that no record shows: it has never been given a task. */
    Machine add(String id, MachineType type, String zone, boolean spot, long rentedWallMs) {
        if (type == null) {
            return null;
        }
        Machine m = new Machine(id, type, zone, spot, rentedWallMs);
        m.answeredAtMs = outbox.now.steadyMs();
        part.machines().put(id, m);
        part.records().changed(id);
        return m;
    }

    /** Lets tasks wait again that were on machines whose leases have surely ended. */
    void endSilent() {
        for (Machine m : part.machines().values()) {
            if (!m.tasks.isEmpty() && part.leaseEnded(m)) {
                outbox.log(
                        "silent: "
                                + m.id
                                + " of part "
                                + part.number
                                + " lost its lease with "
                                + m.tasks.size()
                                + " tasks");
                m.tasksNow().forEach(ledger::remove);
                m.endedSession = m.session;
            }
        }
    }

    /** The machine and everything on it are gone. */
    void gone(Machine m, String why) {
        outbox.log("gone: " + m.id + " of part " + part.number + ", " + why);
        m.tasksNow().forEach(ledger::remove);
        part.removeMachine(m.id);
        part.records().changed(m.id);
        part.fleet().list().forget(m.id);
    }

    /** The cloud says that the machine has stopped by itself, so nothing is on it. */
    void stopped(Machine m) {
        m.tasksNow().forEach(ledger::remove);
        if (m.state == Machine.State.BOOTING || m.state == Machine.State.UP) {
            m.state = Machine.State.DRAINING;
        }
    }

    /** Whether this part is the one to take on a machine that no record shows. */
    boolean strayHere(String id) {
        return index.get(id) == null && Math.floorMod(id.hashCode(), parts) == part.number;
    }

    /**
     * The view shows a machine's record: one that was handed to this part is expected to report.
     */
    void machineChanged(String id, MachineRecord record) {
        Machine m = part.machines().get(id);
        // A write from before a machine's end may come into the view after it.
        if (part.loaded()
                && m == null
                && record.part() == part.number
                && !part.fleet().list().isGone(id)) {
            addMachine(id, record);
        } else if (m != null && m.tasks.isEmpty() && record.part() != part.number) {
            part.removeMachine(id);
        }
    }
}
