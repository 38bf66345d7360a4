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

/** The quota records in the key-value store: one per team, with the shares of all shards. */
final class QuotaRecords {
    private final int shardCount;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final Map<String, Long> fencingPreconditions;
    private final ObjectOpenHashSet<String> teamsWithWriteInFlight = new ObjectOpenHashSet<>();
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

    /** Returns a team's record in the store cache; null if there is none. */
    QuotaRecord get(String team) {
        StoreCache.Entry entry = storeCache.get(StoreSchema.quotaKey(team));
        return entry == null ? null : QuotaRecord.fromMap(entry.value(), shardCount);
    }

    /** Returns the version of a team's record in the store cache. */
    long version(String team) {
        return storeCache.version(StoreSchema.quotaKey(team));
    }

    /** Whether a write of the team's record awaits its reply. */
    boolean isWriteInFlight(String team) {
        return teamsWithWriteInFlight.contains(team);
    }

    /**
     * Creates missing records with even shares, as many as one write may contain. Does nothing
     * while an earlier such write awaits its reply.
     */
    void createMissing() {
        Map<String, Long> preconditions = new LinkedHashMap<>(fencingPreconditions);
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        for (Settings.Team team : settings.teams().values()) {
            String key = StoreSchema.quotaKey(team.name());
            if (storeCache.get(key) == null && writes.size() < settings.maxTransactionWrites()) {
                // Version 0: the record must not exist.
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

    /** Returns the value to store: 0 stands for a resource without a quota and is ignored. */
    private static double finiteOrZero(double limit) {
        return Double.isInfinite(limit) ? 0 : limit;
    }

    /**
     * Sends the write of a transfer.
     *
     * @param onSuccess called when the store has confirmed the write, before the store cache is
     *     updated
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
                            teamsWithWriteInFlight.remove(team);
                            if (reply.status() == ReplyStatus.OK) {
                                onSuccess.run();
                                storeCache.applyOwnWrites(reply, writes);
                            }
                        });
        if (isSent) {
            teamsWithWriteInFlight.add(team);
        }
    }
}
