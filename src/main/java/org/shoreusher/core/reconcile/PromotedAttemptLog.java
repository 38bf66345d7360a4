package org.shoreusher.core.reconcile;

import java.util.Optional;
import java.util.function.Consumer;
import org.shoreusher.standby.AttemptTable;
import org.shoreusher.standby.PromotionOutcome;

/**
 * The attempt log that the previous leader replicated to this process, as far as it is usable.
 *
 * @param attemptTable the attempts that may be on machines; empty if there is no usable log, so
 *     that the attempts have to be taken from heartbeats
 * @param onRejected called with the reason if the log is rejected after its promotion
 */
public record PromotedAttemptLog(
        Optional<AttemptTable> attemptTable, Consumer<PromotionOutcome> onRejected) {}
