package org.shoreusher.core;

import org.shoreusher.settings.Settings;

/** What the classes of a node share, whatever parts it owns. */
record NodeContext(
        Settings settings,
        Outbox out,
        Mirror mirror,
        Arrivals arrivals,
        MachineIndex index,
        Types types,
        Formats formats) {}
