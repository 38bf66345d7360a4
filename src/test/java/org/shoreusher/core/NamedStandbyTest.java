package org.shoreusher.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;

/** Which standby name a shard's record may contain. */
class NamedStandbyTest {
    private static final String NAME = "node-1/b";

    private final NamedStandby standby = new NamedStandby();

    @Example
    void aNameMayStandFromBeforeItsWriteUntilALaterVersionIsKnown() {
        assertTrue(standby.surelyNone());
        standby.want(NAME);
        assertTrue(standby.surelyNone());
        standby.sending(NAME);
        assertFalse(standby.surelyNone());
        // The response is lost. The next write removes the name, and its response is lost as
        // well.
        standby.want(null);
        standby.sending(null);
        assertFalse(standby.surelyNone());
        standby.settled(null);
        assertTrue(standby.surelyNone());
    }

    @Example
    void aRecordReadAnewThatHoldsTheNameKeepsIt() {
        standby.want(NAME);
        standby.sending(NAME);
        standby.want(null);
        standby.settled(NAME);
        assertFalse(standby.surelyNone());
        assertFalse(standby.asWanted());
        standby.want(NAME);
        assertTrue(standby.asWanted());
    }
}
