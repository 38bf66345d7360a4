package org.shoreusher.simulation;

import java.util.function.Predicate;
import org.shoreusher.core.message.Effect;

/** Crashes a controller in the middle of a batch, just before an effect is executed. */
final class CrashInjector {
    private Predicate<Effect> condition;
    private long restartAfterMs;

    /** Crashes the controller before the first effect that matches; it restarts after this time. */
    void arm(Predicate<Effect> condition, long restartAfterMs) {
        this.condition = condition;
        this.restartAfterMs = restartAfterMs;
    }

    /** Crashes the controller after this number of effects. */
    void armAfterEffects(int effects, long restartAfterMs) {
        int[] remaining = {effects};
        arm(effect -> remaining[0]-- <= 0, restartAfterMs);
    }

    /** Whether the controller crashes before this effect; if so, the injector is disarmed. */
    boolean shouldCrashBefore(Effect effect) {
        boolean due = condition != null && condition.test(effect);
        condition = due ? null : condition;
        return due;
    }

    long restartAfterMs() {
        return restartAfterMs;
    }
}
