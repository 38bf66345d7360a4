package org.shoreusher.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.standby.StandbyChooser;

/**
 * Which stored formats every member understands. Each process of this version notes under a key of
 * its host which formats it understands, and its own name; versions from before there were such
 * notes write none. During an upgrade both kinds serve, and a process that ends before its turn
 * comes back old.
 *
 * <p>A member that goes back to the old version after its note can't be told by the note alone. It
 * shows when it takes a part: the fence then names a process of that host that has written no note.
 */
final class MemberFormats {
    /**
     * The first with services, narrow groups of machines, and finished tasks of a job in several
     * records.
     */
    static final long SERVICES = 2;

    private static final String FORMATS = "formats";
    private static final String PROCESS = "process";

    /** Which log of attempts the process understands as a standby; absent: none. */
    private static final String STANDBY = "standby";

    private static final long STANDBY_LOG = 1;

    private final Settings settings;
    private final Features features;
    private final Outbox outbox;
    private final StoreView view;
    private final String process;
    private final int parts;
    private boolean writing;
    private long nextMs;

    /**
     * The members that are not known to understand services, this one included; null when the view
     * has changed since it was worked out.
     */
    private List<String> oldMembers;

    /** The members that the last log line named as old; null before the first line. */
    private List<String> loggedOld;

    /**
     * @param process the name of this process, which no other has ever had
     */
    MemberFormats(
            Settings settings,
            Features features,
            Outbox outbox,
            StoreView view,
            String process,
            int parts) {
        this.settings = settings;
        this.features = features;
        this.outbox = outbox;
        this.view = view;
        this.process = process;
        this.parts = parts;
    }

    /** The view shows a change of a key. */
    void changed(String key) {
        if (key.startsWith(StoreSchema.NODE) || StoreSchema.isFence(key)) {
            oldMembers = null;
        }
    }

    /** Notes what this node understands, and logs when services become enabled or disabled. */
    void step() {
        if (!view.loaded()) {
            return;
        }
        logChange();
        if (!writing && outbox.now.steadyMs() >= nextMs && !noted()) {
            note();
        }
    }

    private boolean noted() {
        StoreView.Entry note = view.get(StoreSchema.node(settings.host()));
        return note != null && process.equals(note.value().get(PROCESS));
    }

    private void note() {
        nextMs = outbox.now.steadyMs() + Tuning.STATE_RETRY_MS;
        String key = StoreSchema.node(settings.host());
        Map<String, Object> note = new LinkedHashMap<>();
        note.put(FORMATS, SERVICES);
        note.put(PROCESS, process);
        if (features.standby() != null) {
            note.put(STANDBY, STANDBY_LOG);
        }
        Map<String, Map<String, Object>> writes = Map.of(key, note);
        writing =
                outbox.state(
                        new StateOp.Multi(Map.of(key, view.version(key)), writes),
                        reply -> {
                            writing = false;
                            if (reply.status() == 200) {
                                view.applied(reply, writes);
                            }
                        });
    }

    /**
     * The processes of other members that understand this version's log of attempts.
     *
     * @param up whether the controller of a host has lately been heard
     */
    List<StandbyChooser.Candidate> standbys(Predicate<String> up) {
        List<StandbyChooser.Candidate> candidates = new ArrayList<>();
        for (Settings.Member member : settings.members()) {
            StoreView.Entry note = view.get(StoreSchema.node(member.host()));
            if (note != null
                    && note.value().get(STANDBY) instanceof Number log
                    && log.longValue() == STANDBY_LOG
                    && note.value().get(PROCESS) instanceof String noted
                    && up.test(member.host())) {
                candidates.add(new StandbyChooser.Candidate(noted, member.zone()));
            }
        }
        return candidates;
    }

    /** Whether every node is known, by the store and not by hints, to understand services. */
    boolean services() {
        return oldMembers().isEmpty();
    }

    private List<String> oldMembers() {
        if (oldMembers == null) {
            oldMembers =
                    settings.hosts().filter(host -> understood(host) < SERVICES).sorted().toList();
        }
        return oldMembers;
    }

    private long understood(String host) {
        StoreView.Entry note = view.get(StoreSchema.node(host));
        if (note == null || !(note.value().get(FORMATS) instanceof Number formats)) {
            return 1;
        }
        return wentBack(host, note) ? 1 : formats.longValue();
    }

    /**
     * Whether a process of the host that has not noted itself took a part after the last note. Each
     * new process writes its note at its start, so a later owner without one is of an old version.
     */
    private boolean wentBack(String host, StoreView.Entry note) {
        Object noted = note.value().get(PROCESS);
        for (int n = 0; n < parts && noted != null; n++) {
            StoreView.Entry fence = view.get(StoreSchema.fence(n));
            if (fence != null
                    && fence.version() > note.version()
                    && fence.value().get("owner") instanceof String owner
                    && owner.startsWith(host + "/")
                    && !owner.equals(noted)) {
                return true;
            }
        }
        return false;
    }

    /** Logs which members are still old, each time that changes, once this one is noted. */
    private void logChange() {
        if (!noted()) {
            return;
        }
        List<String> old = oldMembers();
        if (old.equals(loggedOld)) {
            return;
        }
        loggedOld = old;
        if (old.isEmpty()) {
            outbox.log("upgrade: all members understand services, which are accepted from now on");
        } else {
            outbox.log(
                    "upgrade: services are refused until the members " + old + " run this version");
        }
    }
}
