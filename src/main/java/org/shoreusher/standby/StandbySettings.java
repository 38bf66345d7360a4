package org.shoreusher.standby;

/**
 * What operators can set of the warm standby.
 *
 * @param ackTimeoutMs ms after which an owner without acknowledgement gives its standby up
 * @param headStartMs ms that other nodes leave a named standby to take the part first
 * @param frameRecords records in one frame at most
 * @param mostAttempts attempts in a table at most; with more there is no standby
 */
public record StandbySettings(
        int ackTimeoutMs, int headStartMs, int frameRecords, int mostAttempts) {
    /**
     * A worker waits 4 s for an answer and a node may stand still for some hundred ms, so 1 s loses
     * no answer and gives no standby up for a pause of its collector. 500 records are about 30 KB.
     */
    public static final StandbySettings DEFAULTS = new StandbySettings(1_000, 1_000, 500, 200_000);
}
