package org.shoreusher.core.reconcile;

import java.util.function.Consumer;
import org.shoreusher.standby.AttemptTable;
import org.shoreusher.standby.PromotionOutcome;

/**
 * What a new leader has from the attempt log that the previous leader replicated to it.
 *
 * @param attemptTable the attempts that may be on machines; null if there is no usable log and the
 *     attempts have to be learnt from heartbeats
 * @param onRejected called with the reason when the log turns out to be wrong after all
 */
public record PromotedAttemptLog(
        AttemptTable attemptTable, Consumer<PromotionOutcome> onRejected) {}
