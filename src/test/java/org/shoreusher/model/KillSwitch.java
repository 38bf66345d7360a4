package org.shoreusher.model;

import java.util.function.Predicate;
import org.shoreusher.core.Effect;

/** Kills a process in the middle of a batch, just before an effect is carried out. */
final class KillSwitch {
    private Predicate<Effect> at;
    private long backAfterMs;

    /** Kills before the first effect that matches; the process is back after so many ms. */
    void arm(Predicate<Effect> effect, long backAfter) {
        at = effect;
        backAfterMs = backAfter;
    }

    /** Kills after so many effects from now on. */
    void armAfter(int effects, long backAfter) {
        int[] left = {effects};
        arm(effect -> left[0]-- <= 0, backAfter);
    }

    /** Whether the process is to be killed before this effect; it is then armed no more. */
    boolean before(Effect effect) {
        boolean due = at != null && at.test(effect);
        at = due ? null : at;
        return due;
    }

    long backAfterMs() {
        return backAfterMs;
    }
}
