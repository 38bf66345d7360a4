package org.shoreusher.core.schedule;

import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.QuotaRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.settings.Settings;

/** The quota records of the teams in the key-value store, one for each team. */
final class QuotaRecords {
    private final int shardCount;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final Map<String, Long> fencingPreconditions;
    private final ObjectOpenHashSet<String> teamsInFlight = new ObjectOpenHashSet<>();
    private boolean creationInFlight;

    QuotaRecords(
            int shardCount,
            Settings settings,
            Outbox outbox,
            StoreCache storeCache,
            Map<String, Long> fencingPreconditions) {
        this.shardCount = shardCount;
        this.settings = settings;
        this.outbox = outbox;
        this.storeCache = storeCache;
        this.fencingPreconditions = fencingPreconditions;
    }

    /** Returns the shares of all shards as the store cache has them; null if there is no record. */
    QuotaRecord get(String team) {
        StoreCache.Entry entry = storeCache.get(StoreSchema.quotaKey(team));
        return entry == null ? null : QuotaRecord.fromMap(entry.value(), shardCount);
    }

    /** Returns the version of a team's record. */
    long version(String team) {
        return storeCache.version(StoreSchema.quotaKey(team));
    }

    /** Whether a write of the team's record has been sent and not answered yet. */
    boolean isWriteInFlight(String team) {
        return teamsInFlight.contains(team);
    }

    /** Creates the records that are missing, with even shares, as many as one write may contain. */
    void createMissing() {
        Map<String, Long> preconditions = new LinkedHashMap<>(fencingPreconditions);
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        for (Settings.Team team : settings.teams().values()) {
            String key = StoreSchema.quotaKey(team.name());
            if (storeCache.get(key) == null && writes.size() < settings.maxTransactionWrites()) {
                preconditions.put(key, 0L);
                writes.put(key, evenShares(team).toMap());
            }
        }
        if (!writes.isEmpty() && !creationInFlight) {
            creationInFlight =
                    outbox.callStore(
                            new StoreOperation.CompareAndSwap(preconditions, writes),
                            reply -> {
                                creationInFlight = false;
                                if (reply.status() == ReplyStatus.OK) {
                                    storeCache.applyOwnWrites(reply, writes);
                                }
                            });
        }
    }

    private QuotaRecord evenShares(Settings.Team team) {
        return QuotaRecord.splitEvenly(
                finiteOrZero(team.maxCpus()), finiteOrZero(team.maxGpus()), shardCount);
    }

    private static double finiteOrZero(double limit) {
        return Double.isInfinite(limit) ? 0 : limit;
    }

    /**
     * Sends the write of a transfer.
     *
     * @param onSuccess called when the store has confirmed it
     */
    void send(String team, QuotaTransfer transfer, Runnable onSuccess) {
        String key = StoreSchema.quotaKey(team);
        Map<String, Long> preconditions = new LinkedHashMap<>(fencingPreconditions);
        preconditions.put(key, transfer.version());
        Map<String, Map<String, Object>> writes = Map.of(key, transfer.shares().toMap());
        boolean isSent =
                outbox.callStore(
                        new StoreOperation.CompareAndSwap(preconditions, writes),
                        reply -> {
                            teamsInFlight.remove(team);
                            if (reply.status() == ReplyStatus.OK) {
                                onSuccess.run();
                                storeCache.applyOwnWrites(reply, writes);
                            }
                        });
        if (isSent) {
            teamsInFlight.add(team);
        }
    }
}
