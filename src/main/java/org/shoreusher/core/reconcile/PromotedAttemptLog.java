package org.shoreusher.core.reconcile;

import java.util.Optional;
import java.util.function.Consumer;
import org.shoreusher.standby.AttemptTable;
import org.shoreusher.standby.PromotionOutcome;

/**
 * What a new leader has from the attempt log that the previous leader replicated to it.
 *
 * @param attemptTable the attempts that may be on machines; empty if there is no usable log and the
 *     attempts have to be learnt from heartbeats
 * @param onRejected called with the reason when the log turns out to be wrong after all
 */
public record PromotedAttemptLog(
        Optional<AttemptTable> attemptTable, Consumer<PromotionOutcome> onRejected) {}
