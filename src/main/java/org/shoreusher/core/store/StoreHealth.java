package org.shoreusher.core.store;

import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.settings.SharedConstants;

/** Derives from the replies of the key-value store whether it is available to this node. */
final class StoreHealth {
    /** A time longer ago than any timeout, which does not overflow when it is subtracted. */
    static final long NEVER_MS = Long.MIN_VALUE / 2;

    private long lastReplyAtMs = NEVER_MS;
    private long lastFailureAtMs = NEVER_MS;

    /** Records the status of a reply, or {@link ReplyStatus#NO_REPLY} if there was none. */
    void onReply(int status, long nowMs) {
        // Only a missing reply or a 503 is a failure: a 429 shows that the store is available.
        if (status == ReplyStatus.NO_REPLY || status == ReplyStatus.SERVICE_UNAVAILABLE) {
            lastFailureAtMs = nowMs;
        } else {
            lastReplyAtMs = nowMs;
        }
    }

    /** Returns the ms since the last reply other than 503; very large if there was none. */
    long sinceReplyMs(long nowMs) {
        return nowMs - lastReplyAtMs;
    }

    /**
     * Returns whether the store is unavailable: the latest call failed, and the last reply other
     * than 503 is longer ago than the call timeout. Also true before the first reply.
     */
    boolean isUnavailable(long nowMs) {
        return lastFailureAtMs >= lastReplyAtMs
                && sinceReplyMs(nowMs) > SharedConstants.STORE_TIMEOUT_MS;
    }
}
