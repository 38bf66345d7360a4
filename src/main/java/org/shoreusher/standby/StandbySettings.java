package org.shoreusher.standby;

/**
 * The operators' settings of the warm standby.
 *
 * @param ackTimeoutMs ms without acknowledgement after which a leader abandons its standby
 * @param headStartMs ms that other nodes wait for the named standby to acquire leadership first
 * @param frameRecords maximum number of records in one frame
 * @param mostAttempts maximum number of attempts in a table; a shard with more has no standby
 */
public record StandbySettings(
        int ackTimeoutMs, int headStartMs, int frameRecords, int mostAttempts) {
    /**
     * The defaults. A worker waits 4 s for an answer, and a node may pause for some hundred ms. A
     * timeout of 1 s therefore loses no answer and abandons no standby because of a garbage
     * collection. 500 records are about 30 KB.
     */
    public static final StandbySettings DEFAULTS = new StandbySettings(1_000, 1_000, 500, 200_000);
}
