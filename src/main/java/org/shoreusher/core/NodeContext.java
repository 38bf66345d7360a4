package org.shoreusher.core;

import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;

/** What the classes of a node share, whatever parts it owns. */
record NodeContext(
        Settings settings,
        Features features,
        Outbox outbox,
        StoreView view,
        Arrivals arrivals,
        MachineIndex index,
        MachineTypes types,
        MemberFormats formats) {}
