package org.shoreusher.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.Size;

/** The state machine of a migration under every order of events. */
class MoveTest {
    /** The events that can happen to a migration. */
    enum Event {
        LEFT_SOURCE,
        STARTED,
        COMPLETED,
        ABANDONED
    }

    @Property(tries = 500, seed = "11", shrinking = ShrinkingMode.OFF)
    void startsOnlyAfterTheSourceWasLeftAndEndsOnce(@ForAll @Size(max = 6) List<Event> events) {
        MovableTask task =
                new MovableTask(new TaskId("j", 0), "c", "t", 1, "i", 1, "source", 100, 0, 1);
        Move move = new Move(task, "target", 10, 0, 1_000);
        boolean left = false;
        for (Event event : events) {
            Move.State before = move.state();
            boolean allowed =
                    switch (event) {
                        case LEFT_SOURCE, COMPLETED -> before == Move.State.STOPPING;
                        case STARTED -> left && before == Move.State.STARTING;
                        case ABANDONED -> !before.isTerminal();
                    };
            if (allowed) {
                apply(move, event);
                left |= event == Event.LEFT_SOURCE;
            } else {
                assertThrows(IllegalStateException.class, () -> apply(move, event));
                assertEquals(before, move.state(), "nothing has changed");
            }
        }
    }

    private static void apply(Move move, Event event) {
        switch (event) {
            case LEFT_SOURCE -> move.markLeftSource(2_000);
            case STARTED -> move.markStarted();
            case COMPLETED -> move.markCompleted();
            default -> move.abandon(Move.Reason.TARGET_LOST);
        }
    }
}
