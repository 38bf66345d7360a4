package org.shoreusher.core.store;

import java.util.ArrayList;
import java.util.List;
import org.shoreusher.core.message.Effect;

/** Collects the effects of one batch of commands, in order. */
final class EffectBuffer {
    private List<Effect> effects = new ArrayList<>();

    void add(Effect effect) {
        effects.add(effect);
    }

    /** Returns the effects collected since the last call, and starts an empty list. */
    List<Effect> drain() {
        List<Effect> drained = effects;
        effects = new ArrayList<>();
        return drained;
    }
}
