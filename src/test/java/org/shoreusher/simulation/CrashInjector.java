package org.shoreusher.simulation;

import java.util.function.Predicate;
import org.shoreusher.core.message.Effect;

/** Crashes a process in the middle of a batch, just before an effect is executed. */
final class CrashInjector {
    private Predicate<Effect> condition;
    private long restartAfterMs;

    /**
     * Crashes the process before the first effect that matches; it restarts after this time, in ms.
     */
    void arm(Predicate<Effect> effect, long afterMs) {
        condition = effect;
        restartAfterMs = afterMs;
    }

    /** Crashes the process after this number of effects. */
    void armAfterEffects(int effects, long restartAfterMs) {
        int[] left = {effects};
        arm(effect -> left[0]-- <= 0, restartAfterMs);
    }

    /** Whether the process crashes before this effect; the injector is then disarmed. */
    boolean isDueBefore(Effect effect) {
        boolean due = condition != null && condition.test(effect);
        condition = due ? null : condition;
        return due;
    }

    long restartAfterMs() {
        return restartAfterMs;
    }
}
