package org.shoreusher.model;

import java.util.function.Predicate;
import org.shoreusher.core.Effect;

/** Crashes a process in the middle of a batch, just before an effect is executed. */
final class KillSwitch {
    private Predicate<Effect> at;
    private long backAfterMs;

    /**
     * Crashes the process before the first effect that matches; it restarts after this time, in ms.
     */
    void arm(Predicate<Effect> effect, long backAfter) {
        at = effect;
        backAfterMs = backAfter;
    }

    /** Crashes the process after this number of effects. */
    void armAfter(int effects, long backAfter) {
        int[] left = {effects};
        arm(effect -> left[0]-- <= 0, backAfter);
    }

    /** Whether the process crashes before this effect; the injector is then disarmed. */
    boolean before(Effect effect) {
        boolean due = at != null && at.test(effect);
        at = due ? null : at;
        return due;
    }

    long backAfterMs() {
        return backAfterMs;
    }
}
