package org.shoreusher.settings;

import org.shoreusher.balance.BalanceSettings;
import org.shoreusher.standby.StandbySettings;

/**
 * The optional features of a controller.
 *
 * @param balance settings of the balancer; null if it is off
 * @param standby settings of the warm standby; null if it is off
 */
public record Features(BalanceSettings balance, StandbySettings standby) {
    /** All features off. */
    public static final Features NONE = new Features(null, null);
}
