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
 * Determines which stored formats every member supports, so that a rolling upgrade is safe. Each
 * process of this version writes a version record under a key of its host: the formats that it
 * supports, and its process name. Versions from before version records write none. During an
 * upgrade both kinds of version serve, and a process that crashes before its turn is restarted in
 * the old version.
 *
 * <p>The version record alone does not show that a member has been downgraded after writing it. The
 * downgrade is detected when the member becomes the leader of a shard: the fencing key then names a
 * process on that host that has written no version record.
 */
final class MemberFormats {
    /**
     * The first format with services, with narrow machine groups, and with completion records of a
     * job in several overflow records.
     */
    static final long SERVICES = 2;

    private static final String FORMATS = "formats";
    private static final String PROCESS = "process";

    /** The format of the attempt log that the process supports as a standby; absent: none. */
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
     * The members that are not known to support services, including this one; null if the store
     * cache has changed since they were determined.
     */
    private List<String> oldMembers;

    /** The members without services as last logged; null before the first line. */
    private List<String> loggedOld;

    /**
     * Creates the negotiation; {@link #step} writes the version record of this process.
     *
     * @param settings the deployment's settings
     * @param features the optional features that this node uses
     * @param outbox sends the calls to the store
     * @param view the store cache
     * @param process the name of this process, HOST/SUFFIX
     * @param parts the number of shards
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

    /** Called for each change of a key in the store cache. */
    void changed(String key) {
        if (key.startsWith(StoreSchema.NODE) || StoreSchema.isFence(key)) {
            oldMembers = null;
        }
    }

    /**
     * Writes this process's version record if it is missing, and logs when services become enabled
     * or disabled.
     */
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
     * Returns the processes of other members that support the attempt log format of this version.
     *
     * @param up whether gossip from the controller of a host has arrived recently
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

    /**
     * Returns whether every member is known to support services. Only stored records count, not
     * gossip.
     */
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
     * Returns whether a process of the host became a leader after the version record was written,
     * without having written one itself. Each process of this version writes its record at its
     * start, so a later leader without one runs an old version.
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

    /**
     * Logs which members do not support services, each time that changes, once the version record
     * of this process is written.
     */
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
