package org.shoreusher.core.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;
import org.shoreusher.standby.StandbyChooser;

/**
 * Determines which stored formats every member supports, so that a rolling upgrade is safe. Each
 * process of this version writes a version record under a key of its host, with the formats that it
 * supports and its process name. Older versions write no version record. During an upgrade both
 * versions run side by side, and a process that crashes before its upgrade restarts with the old
 * version.
 *
 * <p>The version record alone does not show that a member was downgraded after writing it. The
 * downgrade is detected when the member becomes the leader of a shard: the shard's fencing key is
 * then newer than the version record, and names another process on that host.
 */
public final class VersionNegotiation {
    /**
     * The first format with services, with narrow machine groups, and with the completed tasks of
     * one job spread over several completion records.
     */
    static final long FORMAT_WITH_SERVICES = 2;

    /** The format of versions that write no version record. */
    private static final long FORMAT_WITHOUT_VERSION_RECORD = 1;

    private static final String FORMAT_FIELD = "formats";
    private static final String PROCESS_NAME_FIELD = "process";

    /**
     * The attempt log format that the process supports as a standby; absent if it supports none.
     */
    private static final String STANDBY_LOG_FIELD = "standby";

    private static final long STANDBY_LOG_FORMAT = 1;

    /**
     * The format of messages about cancellations that the process acknowledges as a leader; absent
     * if it acknowledges none.
     */
    private static final String CANCELLATION_FIELD = "cancellations";

    private static final long CANCELLATION_FORMAT = 1;

    private final Settings settings;
    private final Features features;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final String processName;
    private final int shardCount;
    private boolean writeInFlight;
    private long nextWriteMs;

    /**
     * The hosts, possibly including the one of this node, that are not known to support services;
     * null if a version record or a fencing key has changed since they were determined.
     */
    private List<String> membersWithoutServices;

    /** The members without services as last logged; null before the first log event. */
    private List<String> loggedMembersWithoutServices;

    /**
     * Creates the negotiation; {@link #step} writes the version record of this process.
     *
     * @param settings the deployment's settings
     * @param features the optional features that this node uses
     * @param outbox sends the calls to the store
     * @param storeCache the store cache
     * @param processName the name of this process, HOST/SUFFIX
     * @param shardCount the number of shards
     */
    public VersionNegotiation(
            Settings settings,
            Features features,
            Outbox outbox,
            StoreCache storeCache,
            String processName,
            int shardCount) {
        this.settings = settings;
        this.features = features;
        this.outbox = outbox;
        this.storeCache = storeCache;
        this.processName = processName;
        this.shardCount = shardCount;
    }

    /** Must be called for each change of a key in the store cache. */
    public void onStoreChange(String key) {
        if (key.startsWith(StoreSchema.NODE_PREFIX) || StoreSchema.isFencingKey(key)) {
            membersWithoutServices = null;
        }
    }

    /**
     * Writes this process's version record if it is missing, and logs when services become enabled
     * or disabled.
     */
    public void step() {
        if (!storeCache.isLoaded()) {
            return;
        }
        logServicesSupport();
        if (!writeInFlight
                && outbox.now().monotonicMs() >= nextWriteMs
                && !hasCurrentVersionRecord()) {
            writeVersionRecord();
        }
    }

    private boolean hasCurrentVersionRecord() {
        StoreCache.Entry versionRecord = storeCache.get(StoreSchema.nodeKey(settings.host()));
        return versionRecord != null
                && processName.equals(versionRecord.value().get(PROCESS_NAME_FIELD));
    }

    private void writeVersionRecord() {
        nextWriteMs = outbox.now().monotonicMs() + StoreConstants.STORE_RETRY_MS;
        String key = StoreSchema.nodeKey(settings.host());
        Map<String, Object> versionRecord = new LinkedHashMap<>();
        versionRecord.put(FORMAT_FIELD, FORMAT_WITH_SERVICES);
        versionRecord.put(PROCESS_NAME_FIELD, processName);
        versionRecord.put(CANCELLATION_FIELD, CANCELLATION_FORMAT);
        if (features.standby() != null) {
            versionRecord.put(STANDBY_LOG_FIELD, STANDBY_LOG_FORMAT);
        }
        Map<String, Map<String, Object>> writes = Map.of(key, versionRecord);
        writeInFlight =
                outbox.callStore(
                        new StoreOperation.CompareAndSwap(
                                Map.of(key, storeCache.version(key)), writes),
                        reply -> {
                            writeInFlight = false;
                            if (reply.status() == ReplyStatus.OK) {
                                storeCache.applyOwnWrites(reply, writes);
                            }
                        });
    }

    /**
     * Returns the processes of other members that support the attempt log format of this version
     * and are responsive.
     *
     * @param isResponsive whether gossip from the controller of a host has arrived recently
     */
    public List<StandbyChooser.Candidate> standbyCandidates(Predicate<String> isResponsive) {
        List<StandbyChooser.Candidate> candidates = new ArrayList<>();
        for (Settings.Member member : settings.members()) {
            StoreCache.Entry versionRecord = storeCache.get(StoreSchema.nodeKey(member.host()));
            if (versionRecord != null
                    && versionRecord.value().get(STANDBY_LOG_FIELD) instanceof Number logFormat
                    && logFormat.longValue() == STANDBY_LOG_FORMAT
                    && versionRecord.value().get(PROCESS_NAME_FIELD)
                            instanceof String recordedProcess
                    && isResponsive.test(member.host())) {
                candidates.add(new StandbyChooser.Candidate(recordedProcess, member.zone()));
            }
        }
        return candidates;
    }

    /**
     * Returns whether a process is known to acknowledge cancellations as a leader.
     *
     * @param process the process name, HOST/SUFFIX
     */
    public boolean acknowledgesCancellations(String process) {
        StoreCache.Entry versionRecord =
                storeCache.get(StoreSchema.nodeKey(ShardRecord.hostOf(process)));
        return versionRecord != null
                && process.equals(versionRecord.value().get(PROCESS_NAME_FIELD))
                && versionRecord.value().get(CANCELLATION_FIELD) instanceof Number format
                && format.longValue() == CANCELLATION_FORMAT;
    }

    /**
     * Returns whether every member is known to support services. Only the records in the store
     * cache count, not gossip.
     */
    public boolean areServicesSupported() {
        return membersWithoutServices().isEmpty();
    }

    private List<String> membersWithoutServices() {
        if (membersWithoutServices == null) {
            membersWithoutServices =
                    settings.allHosts()
                            .filter(host -> supportedFormat(host) < FORMAT_WITH_SERVICES)
                            .sorted()
                            .toList();
        }
        return membersWithoutServices;
    }

    private long supportedFormat(String host) {
        StoreCache.Entry versionRecord = storeCache.get(StoreSchema.nodeKey(host));
        if (versionRecord == null
                || !(versionRecord.value().get(FORMAT_FIELD) instanceof Number format)) {
            return FORMAT_WITHOUT_VERSION_RECORD;
        }
        return isDowngraded(host, versionRecord)
                ? FORMAT_WITHOUT_VERSION_RECORD
                : format.longValue();
    }

    /**
     * Returns whether a process of the host acquired a shard after the version record was written,
     * and the record is not its own. Each process of this version writes its record when it starts,
     * so such a leader runs an older version.
     */
    private boolean isDowngraded(String host, StoreCache.Entry versionRecord) {
        Object recordedProcess = versionRecord.value().get(PROCESS_NAME_FIELD);
        for (int shardNumber = 0;
                shardNumber < shardCount && recordedProcess != null;
                shardNumber++) {
            FencingRecord fencingRecord = FencingRecord.in(storeCache, shardNumber);
            if (fencingRecord != null
                    && storeCache.version(StoreSchema.fencingKey(shardNumber))
                            > versionRecord.version()
                    && fencingRecord.leader().startsWith(host + "/")
                    && !fencingRecord.leader().equals(recordedProcess)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Logs which members do not support services whenever that changes. Logs nothing before the
     * version record of this process is written.
     */
    private void logServicesSupport() {
        if (!hasCurrentVersionRecord()) {
            return;
        }
        List<String> withoutServices = membersWithoutServices();
        if (withoutServices.equals(loggedMembersWithoutServices)) {
            return;
        }
        loggedMembersWithoutServices = withoutServices;
        if (withoutServices.isEmpty()) {
            outbox.log(LogEvent.of(LogEventType.SERVICES_ENABLED));
        } else {
            outbox.log(
                    LogEvent.of(LogEventType.SERVICES_DISABLED).with("members", withoutServices));
        }
    }
}
