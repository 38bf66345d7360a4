package org.shoreusher.core.leadership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;

/** Which standby name a shard's record may contain. */
class NamedStandbyTest {
    private static final String NAME = "node-1/b";

    private final NamedStandby standby = new NamedStandby();

    @Example
    void nameIsPossibleFromItsWriteUntilALaterRecordIsConfirmed() {
        assertTrue(standby.isDefinitelyNone());
        standby.setDesired(NAME);
        assertTrue(standby.isDefinitelyNone());
        standby.onWriteSent(NAME);
        assertFalse(standby.isDefinitelyNone());
        // The reply is lost. The next write removes the name, and its reply is lost as
        // well.
        standby.setDesired(null);
        standby.onWriteSent(null);
        assertFalse(standby.isDefinitelyNone());
        standby.onRecordConfirmed(null);
        assertTrue(standby.isDefinitelyNone());
    }

    @Example
    void rereadRecordWithTheNameKeepsIt() {
        standby.setDesired(NAME);
        standby.onWriteSent(NAME);
        standby.setDesired(null);
        standby.onRecordConfirmed(NAME);
        assertFalse(standby.isDefinitelyNone());
        assertFalse(standby.isDesiredStored());
        standby.setDesired(NAME);
        assertTrue(standby.isDesiredStored());
    }
}
