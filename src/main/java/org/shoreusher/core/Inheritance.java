package org.shoreusher.core;

import java.util.function.Consumer;
import org.shoreusher.standby.AttemptTable;
import org.shoreusher.standby.PromotionOutcome;

/**
 * What a taker has from the log of the owner before.
 *
 * @param attempts the attempts that may be on machines; null if they have to be learnt from reports
 * @param distrusted told when the log turns out not to be trusted after all, with the reason
 */
record Inheritance(AttemptTable attempts, Consumer<PromotionOutcome> distrusted) {}
