package org.shoreusher.settings;

import org.shoreusher.balance.BalanceSettings;
import org.shoreusher.standby.StandbySettings;

/**
 * Which optional features a controller uses.
 *
 * @param balance settings of the balancer; null: it is off
 * @param standby settings of the warm standby; null: it is off
 */
public record Features(BalanceSettings balance, StandbySettings standby) {
    /** No feature at all. */
    public static final Features NONE = new Features(null, null);
}
