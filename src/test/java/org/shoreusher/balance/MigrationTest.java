package org.shoreusher.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.Size;

/** Tests the state machine of a migration under random sequences of events. */
class MigrationTest {
    /** Events of a migration, each of which calls one of its methods. */
    enum Event {
        LEFT_SOURCE,
        STARTED,
        OBSOLETE,
        ABANDONED
    }

    @Property(tries = 500, seed = "11", shrinking = ShrinkingMode.OFF)
    void startsOnlyAfterLeavingTheSourceAndEndsOnce(@ForAll @Size(max = 6) List<Event> events) {
        MigratableTask task =
                new MigratableTask(new TaskId("j", 0), "c", "t", 1, "i", 1, "source", 100, 0, 1);
        Migration migration = new Migration(task, "target", 10, 0, 1_000);
        boolean hasLeftSource = false;
        for (Event event : events) {
            Migration.State before = migration.state();
            boolean allowed =
                    switch (event) {
                        case LEFT_SOURCE, OBSOLETE -> before == Migration.State.STOPPING;
                        case STARTED -> hasLeftSource && before == Migration.State.STARTING;
                        case ABANDONED -> !before.isTerminal();
                    };
            if (allowed) {
                applyEvent(migration, event);
                hasLeftSource |= event == Event.LEFT_SOURCE;
            } else {
                assertThrows(IllegalStateException.class, () -> applyEvent(migration, event));
                assertEquals(
                        before, migration.state(), "a rejected event must not change the state");
            }
        }
    }

    private static void applyEvent(Migration migration, Event event) {
        switch (event) {
            case LEFT_SOURCE -> migration.markLeftSource(2_000);
            case STARTED -> migration.markStarted();
            case OBSOLETE -> migration.markObsolete();
            default -> migration.abandon(Migration.Reason.TARGET_LOST);
        }
    }
}
