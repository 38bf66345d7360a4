package org.shoreusher.standby;

/**
 * The operators' settings of the warm standby.
 *
 * @param ackTimeoutMs ms without acknowledgement after which a leader abandons its standby
 * @param headStartMs ms that other nodes wait to let the named standby acquire leadership first
 * @param maxFrameRecords maximum number of records in one frame
 * @param maxAttempts maximum number of attempts in a table; a shard with more has no standby
 */
public record StandbySettings(
        int ackTimeoutMs, int headStartMs, int maxFrameRecords, int maxAttempts) {
    /**
     * The defaults. The acknowledgement timeout of 1 s is well below the 4 s that a worker waits
     * for a response, so no held response is lost. It is well above a node's pauses of some hundred
     * ms, so no standby is abandoned because of a garbage collection. 500 records are about 30 KB.
     */
    public static final StandbySettings DEFAULTS = new StandbySettings(1_000, 1_000, 500, 200_000);
}
