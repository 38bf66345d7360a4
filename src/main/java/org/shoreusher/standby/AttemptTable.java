package org.shoreusher.standby;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;

/**
 * The attempts that may be on machines, with a checksum that is updated with every change: the sum
 * of the attempts' 64-bit hashes, which does not depend on their order. XXH3 is as fast as any hash
 * of its library on these attempts (docs/standby-design.md).
 */
public final class AttemptTable {
    private final Object2ObjectOpenHashMap<AttemptId, Attempt> attempts =
            new Object2ObjectOpenHashMap<>();
    private final HashStream64 hasher = Hashing.xxh3_64().hashStream();
    private long digest;

    /** Adds an attempt; one with the same id is replaced. */
    public void add(Attempt attempt) {
        Attempt previous = attempts.put(attempt.id(), attempt);
        if (previous != null) {
            digest -= hash(previous);
        }
        digest += hash(attempt);
    }

    /** Removes an attempt. Has no effect if it is not in the table. */
    public void remove(AttemptId id) {
        Attempt previous = attempts.remove(id);
        if (previous != null) {
            digest -= hash(previous);
        }
    }

    /** Whether an attempt is in the table. */
    public boolean contains(AttemptId id) {
        return attempts.containsKey(id);
    }

    /** The number of attempts. */
    public int size() {
        return attempts.size();
    }

    /** A copy of all attempts, in no particular order. */
    public List<Attempt> copyAttempts() {
        return new ArrayList<>(attempts.values());
    }

    /** The checksum by which the tables of leader and standby are compared. */
    public Checksum checksum() {
        return new Checksum(digest, attempts.size());
    }

    private long hash(Attempt attempt) {
        return hasher.reset()
                .putString(attempt.id().jobId())
                .putInt(attempt.id().taskIndex())
                .putLong(attempt.id().attemptNumber())
                .putString(attempt.machineId())
                .putString(attempt.team())
                .putDouble(attempt.cpus())
                .putDouble(attempt.gpus())
                .putDouble(attempt.memGb())
                .getAsLong();
    }

    /**
     * The checksum of a table at some point of the log.
     *
     * @param digest sum of the hashes of its attempts, modulo 2^64
     * @param size the number of attempts
     */
    public record Checksum(long digest, int size) {}
}
