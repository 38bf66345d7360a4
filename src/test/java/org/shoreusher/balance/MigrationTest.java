package org.shoreusher.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.Size;

/** The state machine of a migration under every order of events. */
class MigrationTest {
    /** The events that can happen to a migration. */
    enum Event {
        LEFT_SOURCE,
        STARTED,
        COMPLETED,
        ABANDONED
    }

    @Property(tries = 500, seed = "11", shrinking = ShrinkingMode.OFF)
    void startsOnlyAfterLeavingTheSourceAndEndsOnce(@ForAll @Size(max = 6) List<Event> events) {
        MigratableTask task =
                new MigratableTask(new TaskId("j", 0), "c", "t", 1, "i", 1, "source", 100, 0, 1);
        Migration migration = new Migration(task, "target", 10, 0, 1_000);
        boolean left = false;
        for (Event event : events) {
            Migration.State before = migration.state();
            boolean allowed =
                    switch (event) {
                        case LEFT_SOURCE, COMPLETED -> before == Migration.State.STOPPING;
                        case STARTED -> left && before == Migration.State.STARTING;
                        case ABANDONED -> !before.isTerminal();
                    };
            if (allowed) {
                applyEvent(migration, event);
                left |= event == Event.LEFT_SOURCE;
            } else {
                assertThrows(IllegalStateException.class, () -> applyEvent(migration, event));
                assertEquals(before, migration.state(), "nothing has changed");
            }
        }
    }

    private static void applyEvent(Migration migration, Event event) {
        switch (event) {
            case LEFT_SOURCE -> migration.markLeftSource(2_000);
            case STARTED -> migration.markStarted();
            case COMPLETED -> migration.markCompleted();
            default -> migration.abandon(Migration.Reason.TARGET_LOST);
        }
    }
}
